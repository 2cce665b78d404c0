// The platform's object store: objects of any kind under one version counter, with conditional changes and
// a bounded history for watches. Pure: the time of a change is an argument.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkseam::standin {

using store_version = std::uint64_t;

struct stored_object {
    std::string kind;
    std::string name;
    store_version version = 0;
    std::string value_json;
    bool deleted = false; ///< only in a change
};

enum class store_status { ok, created, not_found, conflict, too_large };

struct store_answer {
    store_status status = store_status::ok;
    stored_object object;
};

/// Changes of one kind, up to and including `version`.
struct store_changes {
    store_version version = 0;
    std::vector<stored_object> items;
};

struct store_limits {
    std::size_t value_bytes = 1U << 20U;
    std::size_t history = 10'000; ///< changes kept for watches
};

class object_store {
public:
    explicit object_store(store_limits limits = {})
        : limits_(limits) {}

    /// Creates an object; a conflict where it exists.
    store_answer create(const std::string& kind, const std::string& name, std::string value_json,
                        time_point now);
    /// Replaces the value of the object with this version; a conflict where it has another or none.
    store_answer update(const std::string& kind, const std::string& name, store_version expected,
                        std::string value_json, time_point now);
    store_answer remove(const std::string& kind, const std::string& name, store_version expected,
                        time_point now);

    [[nodiscard]] store_answer get(const std::string& kind, const std::string& name) const;
    [[nodiscard]] std::vector<stored_object> list(const std::string& kind) const;

    /// Changes of a kind after a version that were made at or before `visible_at`; nothing where the history
    /// no longer reaches back that far, or where the store never had that version.
    [[nodiscard]] std::optional<store_changes> changes_after(const std::string& kind, store_version after,
                                                             time_point visible_at) const;

    [[nodiscard]] store_version version() const { return version_; }

private:
    struct change {
        time_point made_at;
        stored_object object;
    };

    [[nodiscard]] const stored_object* find(const std::string& kind, const std::string& name) const;
    void record(stored_object object, time_point now);

    store_limits limits_;
    store_version version_ = 0; ///< of the latest change
    std::map<std::pair<std::string, std::string>, stored_object> objects_;
    store_version forgotten_upto_ = 0; ///< the largest version that the history has dropped
    std::deque<change> history_;       ///< the changes of all versions after that, one each, ascending
};

} // namespace skylarkseam::standin
