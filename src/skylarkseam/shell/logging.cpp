#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/shell/logging.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace skylarkseam {
namespace {

namespace logging = boost::log;
using sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

constexpr name_table level_names{std::array{
    named_value<log_level>{log_level::trace, "trace"},
    named_value<log_level>{log_level::debug, "debug"},
    named_value<log_level>{log_level::info, "info"},
    named_value<log_level>{log_level::warning, "warning"},
    named_value<log_level>{log_level::error, "error"},
}};

logging::sources::severity_logger<log_level>& logger() {
    static logging::sources::severity_logger<log_level> instance;
    return instance;
}

std::string& node_name() {
    static std::string name;
    return name;
}

bool needs_quotes(std::string_view text) {
    for (const char it : text) {
        if (it == ' ' || it == '"' || it == '=' || it == '\\' || static_cast<unsigned char>(it) < ' ') {
            return true;
        }
    }
    return text.empty();
}

void append_value(std::string& line, std::string_view text) {
    if (!needs_quotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            line += '\\';
            line += it;
        } else if (static_cast<unsigned char>(it) < ' ') {
            line += ' ';
        } else {
            line += it;
        }
    }
    line += '"';
}

/// The wall clock, for the reader's eye only; no decision depends on it.
std::string timestamp() {
    const auto now = std::chrono::system_clock::now();
    const auto whole = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 40> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buf.data() + n, buf.size() - n, ".%03dZ", static_cast<int>(ms));
    return buf.data();
}

} // namespace

void start_logging(log_level level, const std::string& node) {
    node_name() = node;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto front = boost::make_shared<sink>(backend);
    front->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(front);
    logging::core::get()->set_filter(logging::expressions::attr<log_level>("Severity") >= level);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    auto record = logger().open_record(logging::keywords::severity = level);
    if (!record) {
        return;
    }
    std::string line = "time=" + timestamp() + " level=" + std::string(level_names.name_of(level));
    line += " node=" + node_name() + " event=" + std::string(event);
    for (const auto& it : fields) {
        line += ' ';
        line += it.name;
        line += '=';
        append_value(line, it.text);
    }
    logging::record_ostream stream(record);
    stream << line;
    stream.flush();
    logger().push_record(std::move(record));
}

} // namespace skylarkseam
