// Logs by Boost.Log: one line of key=value pairs for each event, on the standard error stream.
#pragma once

#include <skylarkseam/core/settings.hpp>

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

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace skylarkseam
