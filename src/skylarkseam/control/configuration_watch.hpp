// Reads the configuration's head from the platform. A node that is set to watch keeps a watch open and also
// reads the head at intervals, since a watch may lag; any node can request single reads.
#pragma once

#include <skylarkseam/control/configuration_in_force.hpp>
#include <skylarkseam/core/platform_object.hpp>
#include <skylarkseam/core/time.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

struct configuration_watch_options {
    duration watch_timeout = seconds(20);
    duration read_interval = seconds(4);
    duration retry_pause = milliseconds(200);
    duration max_retry_pause = seconds(4);
};

/// Purpose of a call to the platform; the owner passes it back with the answer.
enum class watch_call { watch, read, piece };

class configuration_watch {
public:
    configuration_watch(configuration_watch_options options, const configuration_codec& codec);

    struct call {
        watch_call purpose = watch_call::read;
        platform_request request;
    };

    void set_watching(bool watching, time_point now);
    [[nodiscard]] bool watching() const { return watching_; }
    /// Schedules one direct read of the head for `now`, unless a read is in progress or already scheduled,
    /// for instance as the retry of a failed one.
    void request_read(time_point now);

    /// Appends the calls that are due, and marks them as open.
    void take_due_calls(time_point now, std::vector<call>& out);
    /// Handles an answer. Returns a complete candidate with a generation higher than `in_force`, nothing, or
    /// an error for the log.
    [[nodiscard]] result<std::optional<configuration_candidate>>
    on_answer(watch_call purpose, const platform_response& answer, generation_id in_force, time_point now);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Time of the last successful answer to a watch or a read of the head.
    [[nodiscard]] std::optional<time_point> last_answer_at() const { return last_answer_at_; }
    /// Number of ignored heads with a lower generation than the one in force.
    [[nodiscard]] std::uint64_t refused_lower() const { return refused_lower_; }

private:
    /// Schedule of the calls for one purpose: at most one call is open at a time, and the pause before a
    /// retry doubles with each consecutive failure.
    struct call_schedule {
        bool open = false;
        std::optional<time_point> due;
        duration backoff{}; ///< Current pause before a retry.
    };

    void record_success(call_schedule& schedule, std::optional<time_point> due, time_point now);
    void record_failure(call_schedule& schedule, time_point now);
    void handle_watch_answer(const platform_response& answer, time_point now);
    result<std::optional<configuration_candidate>> handle_head(const platform_object& object,
                                                               generation_id in_force);
    result<std::optional<configuration_candidate>> handle_piece(const platform_response& answer,
                                                                time_point now);
    std::optional<configuration_candidate> assemble();
    [[nodiscard]] platform_request watch_request() const;

    configuration_watch_options options_;
    const configuration_codec& codec_;
    bool watching_ = false;
    std::string store_version_; ///< Store version to watch from; if empty, the next call lists.
    call_schedule watch_;
    call_schedule read_;
    std::optional<body_collector> collector_; ///< Assembler for a head whose pieces are being read.
    std::optional<time_point> last_answer_at_;
    std::uint64_t refused_lower_ = 0;
};

} // namespace skylarkseam
