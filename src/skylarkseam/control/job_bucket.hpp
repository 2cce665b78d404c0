// Follows one bucket of live jobs: one list, then watches, so that the cost grows with what changes.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct job_bucket_settings {
    duration watch_time = seconds(20);                 ///< how long the platform may hold a watch
    duration watch_interval = seconds(1);              ///< least time between two calls for one bucket
    duration list_interval = std::chrono::minutes(10); ///< a list again, in case a watch missed something
};

/// An object that came, changed or went.
struct bucket_change {
    std::string name;
    std::string version;
    std::string value_json;
    bool deleted = false;
};

class job_bucket {
public:
    explicit job_bucket(std::string kind, job_bucket_settings settings = {});

    /// The call that is due, if one is and none is under way.
    [[nodiscard]] std::optional<platform_request> next_call(time_point now);

    /// Takes the answer to the last call; appends what changed.
    void handle(const platform_response& response, time_point now, std::vector<bucket_change>& changes);

    /// When next_call() has one; nothing while a call is under way.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t size() const { return versions_.size(); }

private:
    void take_list(const platform_response& response, std::vector<bucket_change>& changes);
    void take_object(const platform_object& object, std::vector<bucket_change>& changes);

    std::string kind_;
    job_bucket_settings settings_;
    std::map<std::string, std::string> versions_; ///< of the known objects, by name
    std::string version_;                         ///< of the store as last seen; empty: list first
    bool calling_ = false;
    bool listing_ = false;
    time_point due_{};
    time_point next_list_{};
};

} // namespace skylarkseam
