// Reads the configuration's head from the platform: a watch that goes on for as long as this node is told to
// watch, direct reads besides it, since a watch may lag, and single reads on request.
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
    duration first_retry = milliseconds(200);
    duration longest_retry = seconds(4);
};

/// What a call is for; the answer is given back with it.
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
    /// Asks for one direct read, at once unless one is under way or was tried very lately.
    void read_soon(time_point now);

    /// The calls that are due now.
    void take_calls(time_point now, std::vector<call>& out);
    /// Takes an answer. A candidate that is higher than `in_force`, an error for the log, or neither.
    [[nodiscard]] result<std::optional<configuration_candidate>>
    take_answer(watch_call purpose, const platform_response& answer, generation_id in_force, time_point now);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// When the platform last told what the head is.
    [[nodiscard]] std::optional<time_point> heard() const { return heard_; }
    /// Heads of a generation lower than the one in force.
    [[nodiscard]] std::uint64_t refused_lower() const { return refused_lower_; }

private:
    /// Times of one line of calls: at most one call at a time, with a growing pause after failures.
    struct call_line {
        bool open = false;
        std::optional<time_point> due;
        duration pause{};
    };

    void succeeded(call_line& line, std::optional<time_point> due, time_point now);
    void failed(call_line& line, time_point now);
    void take_watch_answer(const platform_response& answer, time_point now);
    result<std::optional<configuration_candidate>> take_head(const platform_object& object,
                                                             generation_id in_force);
    result<std::optional<configuration_candidate>> take_piece(const platform_response& answer,
                                                              time_point now);
    std::optional<configuration_candidate> complete();
    [[nodiscard]] platform_request watch_request() const;

    configuration_watch_options options_;
    const configuration_codec& codec_;
    bool watching_ = false;
    std::string version_; ///< of the store, to watch from; empty: list first
    call_line watch_;
    call_line read_;
    std::optional<body_collector> collector_; ///< of a head whose pieces are being read
    std::optional<time_point> heard_;
    std::uint64_t refused_lower_ = 0;
};

} // namespace skylarkseam
