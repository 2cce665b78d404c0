// Reads and conditionally updates the cell's record in the platform, with at most one call in flight. If the
// answer to an update is lost, a later read shows by the record's token whether the update took effect.
#pragma once

#include <skylarkseam/control/cell.hpp>

#include <deque>
#include <map>

namespace skylarkseam {

/// Update that was sent, with the heartbeats that it acknowledges if it takes effect.
struct write_attempt {
    platform_call_id call = 0;
    record_version base_version = 0;
    time_point sent{};
    cell_record record;
    /// Sequence number of each member's latest heartbeat before `sent`.
    std::map<std::string, std::uint64_t> acknowledged;
};

/// Outcome of a platform call.
struct platform_result {
    bool missing = false;  ///< The record does not exist.
    bool conflict = false; ///< The record has another version than the update expected.
    record_version version = 0;
    std::optional<cell_record> record;
    std::optional<write_attempt> own_write; ///< Update of this node that wrote `record`, if it was one.
    duration latency{};
};

class record_writer {
public:
    record_writer(const cell_timing& timing, std::string token_prefix)
        : timing_(timing)
        , token_prefix_(std::move(token_prefix)) {}

    /// Returns whether a call may be sent: none is in flight, and the backoff after a failure has ended.
    [[nodiscard]] bool can_call(time_point now) const;

    /// Returns whether the outcome of an update is unknown; the record must then be read before the next
    /// update.
    [[nodiscard]] bool needs_read_back() const {
        return !attempts_.empty() && (!last_read_ || *last_read_ < attempts_.back().sent);
    }

    /// Returns whether the platform answered the latest call within the usable latency, or still can.
    [[nodiscard]] bool platform_reachable(time_point now) const;

    void read(time_point now, std::vector<cell_output>& out);
    void write(record_version base_version, cell_record record,
               std::map<std::string, std::uint64_t> acknowledged, time_point now,
               std::vector<cell_output>& out);

    [[nodiscard]] platform_result on_answer(const cell_event::platform_answered& answer, time_point now);

    /// Discards the updates of versions before `known`; they can no longer take effect.
    void discard_superseded(record_version known);

    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    [[nodiscard]] std::optional<time_point> last_read() const { return last_read_; }
    [[nodiscard]] time_point last_call() const { return last_call_sent_at_; }

private:
    struct sent_read {
        platform_call_id call = 0;
        time_point sent{};
    };

    void begin_call(time_point now);
    void record_failure(time_point now);
    [[nodiscard]] std::optional<write_attempt> extract_attempt(const std::string& token);

    cell_timing timing_;
    std::string token_prefix_;
    platform_call_id last_call_ = 0;
    std::optional<time_point> pending_call_since_;
    time_point retry_at_{};
    int failures_ = 0;
    std::deque<write_attempt> attempts_; ///< Updates whose outcome is unknown.
    std::deque<sent_read> sent_reads_;   ///< Reads without an answer; a late one may still come.
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::optional<time_point> last_read_; ///< Send time of the last successful read.
    time_point last_call_sent_at_{};
    bool answered_in_time_ = true;
};

} // namespace skylarkseam
