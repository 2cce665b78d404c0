// Follows the live jobs of one bucket by one list and subsequent watches, so that the cost grows with the
// number of changes and not with the number of jobs.
#pragma once

#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct job_bucket_settings {
    duration watch_timeout = seconds(20);              ///< Longest time that the platform may hold a watch.
    duration watch_interval = seconds(1);              ///< Minimum time between two calls for one bucket.
    duration list_interval = std::chrono::minutes(10); ///< Time between lists; a watch may miss a change.
};

/// An object that was created, changed or deleted.
struct bucket_change {
    std::string name;
    std::string version;
    std::string value_json;
    bool deleted = false;
};

class job_bucket {
public:
    explicit job_bucket(std::string kind, job_bucket_settings settings = {});

    /// Returns the next call if it is due and no other call is pending.
    [[nodiscard]] std::optional<platform_request> next_call(time_point now);

    /// Handles the answer to the last call and appends the changes.
    void handle(const platform_response& response, time_point now, std::vector<bucket_change>& changes);

    /// Time at which next_call() returns a call; empty while a call is pending.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t size() const { return versions_.size(); }

private:
    void apply_list(const platform_response& response, std::vector<bucket_change>& changes);
    void apply_object(const platform_object& object, std::vector<bucket_change>& changes);

    std::string kind_;
    job_bucket_settings settings_;
    std::map<std::string, std::string> versions_; ///< Versions of the known objects by name.
    std::string version_; ///< Last seen version of the store; empty if a list is needed.
    bool call_pending_ = false;
    bool listing_ = false;
    time_point next_call_at_{};
    time_point next_list_{};
};

} // namespace skylarkseam
