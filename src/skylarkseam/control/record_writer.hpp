// Reads and conditional updates of the cell's object, with at most one call under way. An update whose answer
// was lost is settled by reading back and comparing tokens.
#pragma once

#include <skylarkseam/control/cell.hpp>

#include <deque>
#include <map>

namespace skylarkseam {

/// One update that was sent. Holds what its success proves.
struct write_attempt {
    platform_call_id call = 0;
    record_version base = 0;
    time_point sent{};
    cell_record record;
    std::map<std::string, std::uint64_t> acknowledged; ///< latest sign of life of each member before `sent`
};

/// What an answer from the platform has shown.
struct platform_finding {
    bool missing = false;  ///< the object does not exist
    bool conflict = false; ///< somebody else has updated it
    record_version version = 0;
    std::optional<cell_record> record;
    std::optional<write_attempt> own; ///< `record` is this update of ours
    duration latency{};
};

class record_writer {
public:
    record_writer(const cell_timing& timing, std::string token_prefix)
        : timing_(timing)
        , token_prefix_(std::move(token_prefix)) {}

    /// Whether a call may be sent: none is under way, and the pause after a failure is over.
    [[nodiscard]] bool ready(time_point now) const;

    /// Whether an update may have taken effect unseen: read before the next one.
    [[nodiscard]] bool needs_read_back() const {
        return !attempts_.empty() && (!last_read_ || *last_read_ < attempts_.back().sent);
    }

    /// Whether the platform has answered the latest call in usable time, as far as can be told by now.
    [[nodiscard]] bool reachable(time_point now) const;

    void read(time_point now, std::vector<cell_output>& out);
    void write(record_version base, cell_record record, std::map<std::string, std::uint64_t> acknowledged,
               time_point now, std::vector<cell_output>& out);

    [[nodiscard]] platform_finding take(const cell_event::platform_answered& answer, time_point now);

    /// A later version is known: no open attempt on an earlier one can take effect any more.
    void settle(record_version known);

    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    [[nodiscard]] std::optional<time_point> last_read() const { return last_read_; }
    [[nodiscard]] time_point last_call() const { return call_sent_; }

private:
    void begin_call(time_point now);
    void note_failure(time_point now);
    [[nodiscard]] std::optional<write_attempt> take_attempt(const std::string& token);

    cell_timing timing_;
    std::string token_prefix_;
    platform_call_id last_call_ = 0;
    std::optional<time_point> under_way_since_;
    time_point retry_at_{};
    int failures_ = 0;
    std::deque<write_attempt> attempts_; ///< updates whose outcome is open
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::optional<time_point> last_read_; ///< when the last answered read was sent
    time_point call_sent_{};
    bool answered_in_time_ = true;
};

} // namespace skylarkseam
