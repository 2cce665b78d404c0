// Ledger of one incarnation of a node. Adds a record for each query to a hash chain, returns its receipt, and
// stores the records in segments. During a platform outage, records are kept in bounded memory and copied to
// a peer. Records that exceed the memory are declared as lost in the chain.
#pragma once

#include <skylarkseam/control/ledger_segment.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

struct ledger_settings {
    std::size_t segment_bytes = 256U << 10U;     ///< Size at which a segment is sealed.
    duration segment_age = seconds(10);          ///< Age at which a segment is sealed.
    duration write_interval = milliseconds(250); ///< Minimum time between two writes.
    duration initial_backoff = milliseconds(500);
    duration max_backoff = seconds(10);
    std::size_t memory_bytes = 32U << 20U; ///< Memory limit of the records that are not stored yet.
};

namespace ledger_event {
struct time_passed {};
} // namespace ledger_event

using ledger_input = std::variant<platform_answer, ledger_event::time_passed>;

namespace ledger_action {
/// Sends a peer a copy of a segment that is not stored in the platform.
struct copy_segment {
    std::string segment_json;
};
/// Releases the peer's copies up to a record, because those records are stored.
struct release_copies {
    std::uint64_t up_to = 0;
};
} // namespace ledger_action

using ledger_output = std::variant<platform_call, ledger_action::copy_segment, ledger_action::release_copies>;

struct ledger_counters {
    std::uint64_t records = 0;
    std::uint64_t segments_stored = 0;
    std::uint64_t bytes_stored = 0;
    std::uint64_t copies = 0;
    std::uint64_t records_lost = 0;
};

class ledger {
public:
    using time_event = ledger_event::time_passed;

    ledger(std::string node, std::uint64_t incarnation, time_point now, ledger_settings settings = {});

    /// Adds a record to the chain. The platform calls that handle() returns store it later.
    ledger_receipt append(const ledger_record& record, time_point now);

    /// Adds the closing record to the chain. No record may be appended afterwards.
    void close(time_point now);

    /// Handles one event and appends the resulting actions in order.
    void handle(const ledger_input& event, time_point now, std::vector<ledger_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Number of records that are not known to be stored.
    [[nodiscard]] std::uint64_t backlog() const;
    [[nodiscard]] std::size_t backlog_bytes() const { return sealed_bytes_ + open_bytes_; }
    [[nodiscard]] const std::string& head() const { return head_; }
    [[nodiscard]] const ledger_counters& counters() const { return counters_; }

private:
    struct sealed_segment {
        ledger_segment segment;
        std::size_t bytes = 0;
        bool attempted = false; ///< Whether a create was sent, which may have taken effect.
        bool copied = false;
    };

    void append_line(std::string line, time_point now);
    void seal(time_point now);
    void declare_oldest_lost();
    void on_stored(const platform_response& response, time_point now, std::vector<ledger_output>& out);
    void copy_unstored_segments(std::vector<ledger_output>& out);

    std::string node_;
    std::uint64_t incarnation_;
    ledger_settings settings_;
    std::string head_;
    std::uint64_t sequence_ = 0;
    ledger_segment open_; ///< Segment that takes new records; without lines if none is open.
    std::size_t open_bytes_ = 0;
    time_point opened_{};
    std::deque<sealed_segment> sealed_; ///< Segments to store, starting from the front.
    std::size_t sealed_bytes_ = 0;
    bool write_pending_ = false;     ///< Whether a create of the front segment is pending.
    bool last_write_failed_ = false; ///< Whether the last create was not confirmed as stored.
    bool copies_held_ = false;
    bool closing_ = false;
    platform_call_id last_call_ = 0;
    time_point next_write_{};
    duration backoff_{};
    ledger_counters counters_;
};

} // namespace skylarkseam
