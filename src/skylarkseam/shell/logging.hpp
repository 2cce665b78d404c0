// Logs by Boost.Log: one line of key=value pairs for each event, on the standard output.
#pragma once

#include <skylarkseam/core/settings.hpp>
#include <skylarkseam/shell/event_loop.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace skylarkseam {

/// One pair of a log line. Values with blanks, quotes or control characters are quoted and escaped.
struct log_field {
    log_field(std::string_view key, std::string_view value)
        : name(key)
        , text(value) {}
    log_field(std::string_view key, const char* value)
        : name(key)
        , text(value) {}
    log_field(std::string_view key, const std::string& value)
        : name(key)
        , text(value) {}
    log_field(std::string_view key, std::uint64_t value)
        : name(key)
        , text(std::to_string(value)) {}

    std::string_view name;
    std::string text;
};

/// Sets up the sink and the level; called once, before the first event.
void start_logging(log_level level, const std::string& node);

/// From now on lines are gathered and written by the loop, in turns; before, each is written at once.
void write_logs_by(event_loop& loop);

/// Writes what is left, as far as the reader takes it; before the process ends.
void flush_logs();

/// Lines that were left out since the start, since there were too many or the reader was too slow.
[[nodiscard]] std::uint64_t log_lines_left_out();

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace skylarkseam
