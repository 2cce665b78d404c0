#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/shell/log_output.hpp>
#include <skylarkseam/shell/logging.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <thread>
#include <unistd.h>

namespace skylarkseam {
namespace {

namespace logging = boost::log;
constexpr duration flush_interval = milliseconds(250);
constexpr int flush_tries_at_end = 20;        ///< 10 ms apart
constexpr std::size_t usual_line_bytes = 400; ///< an answer's line, so that it grows without copies

/// The standard output, and the loop that writes it.
struct log_target {
    log_output output{STDOUT_FILENO, {}};
    event_loop* loop = nullptr;
    bool flush_due = false;
};

log_target& target() {
    static log_target instance;
    return instance;
}

time_point steady_now() {
    if (target().loop != nullptr) {
        return target().loop->now();
    }
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

/// Flushes once for all lines of a while.
void flush_soon() {
    auto& it = target();
    if (it.loop == nullptr) {
        it.output.flush();
        return;
    }
    if (it.flush_due) {
        return;
    }
    it.flush_due = true;
    it.loop->run_after(flush_interval, [&it] {
        it.flush_due = false;
        it.output.flush();
        if (!it.output.empty()) {
            flush_soon();
        }
    });
}

/// Hands formatted lines to the bounded output.
class bounded_backend : public logging::sinks::basic_formatted_sink_backend<char> {
public:
    void consume(const logging::record_view& record, const string_type& line) {
        const auto level = record["Severity"].extract<log_level>();
        const bool important = level && *level >= log_level::warning;
        target().output.add(line, important, steady_now());
        flush_soon();
    }
};

using sink = logging::sinks::synchronous_sink<bounded_backend>;

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

/// The wall clock, for the reader's eye only; no decision depends on it. The part down to the second is
/// formatted once for all lines of that second.
void append_timestamp(std::string& line) {
    thread_local std::time_t formatted_second = -1;
    thread_local std::array<char, 32> second_text{};
    const auto now = std::chrono::system_clock::now();
    const auto whole = std::chrono::system_clock::to_time_t(now);
    if (whole != formatted_second) {
        std::tm parts{};
        gmtime_r(&whole, &parts);
        std::strftime(second_text.data(), second_text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        formatted_second = whole;
    }
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    constexpr std::int64_t ten = 10;
    line += second_text.data();
    line += '.';
    line += static_cast<char>('0' + ms / (ten * ten));
    line += static_cast<char>('0' + ms / ten % ten);
    line += static_cast<char>('0' + ms % ten);
    line += 'Z';
}

} // namespace

void start_logging(log_level level, const std::string& node) {
    node_name() = node;
    auto front = boost::make_shared<sink>(boost::make_shared<bounded_backend>());
    front->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(front);
    logging::core::get()->set_filter(logging::expressions::attr<log_level>("Severity") >= level);
}

void write_logs_by(event_loop& loop) {
    target().loop = &loop;
}

void flush_logs() {
    target().loop = nullptr;
    for (int n = 0; n < flush_tries_at_end && !target().output.empty(); ++n) {
        target().output.flush();
        if (!target().output.empty()) {
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
}

std::uint64_t log_lines_left_out() {
    return target().output.left_out();
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    auto record = logger().open_record(logging::keywords::severity = level);
    if (!record) {
        return;
    }
    std::string line;
    line.reserve(usual_line_bytes);
    line += "time=";
    append_timestamp(line);
    line.append(" level=").append(level_names.name_of(level));
    line.append(" node=").append(node_name()).append(" event=").append(event);
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
