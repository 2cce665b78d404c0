// The ledger of one incarnation of a node: chains a record for each query, gives its receipt, and stores the
// records in segments. Through an outage they are kept in bounded memory and copied to a peer; what does not
// fit is declared as lost in the chain.
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
    std::size_t segment_bytes = 256U << 10U; ///< a segment is stored once it has so many, or is so old
    duration segment_age = seconds(10);
    duration write_interval = milliseconds(250); ///< least time between two writes
    duration first_backoff = milliseconds(500);
    duration longest_backoff = seconds(10);
    std::size_t memory_bytes = 32U << 20U; ///< of records that are not yet stored
};

namespace ledger_event {
struct time_passed {};
} // namespace ledger_event

using ledger_input = std::variant<platform_answer, ledger_event::time_passed>;

namespace ledger_action {
/// Gives a peer a copy of a segment that the platform did not take.
struct copy_segment {
    std::string segment_json;
};
/// The peer's copies up to this record are no longer needed.
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

    /// Chains a record; it is stored later, by what handle() asks for.
    ledger_receipt append(const ledger_record& record, time_point now);

    /// Chains the closing record; nothing may be appended afterwards.
    void close(time_point now);

    /// Takes one event and appends what is to be done, in order.
    void handle(const ledger_input& event, time_point now, std::vector<ledger_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Records that are not yet known to be stored.
    [[nodiscard]] std::uint64_t backlog() const;
    [[nodiscard]] std::size_t backlog_bytes() const { return sealed_bytes_ + open_bytes_; }
    [[nodiscard]] const std::string& head() const { return head_; }
    [[nodiscard]] const ledger_counters& counters() const { return counters_; }

private:
    struct sealed_segment {
        ledger_segment segment;
        std::size_t bytes = 0;
        bool attempted = false; ///< a create was sent, which may have taken effect
        bool copied = false;
    };

    void add_line(std::string line, time_point now);
    void seal(time_point now);
    void drop_oldest();
    void on_stored(const platform_response& response, time_point now, std::vector<ledger_output>& out);
    void copy_waiting(std::vector<ledger_output>& out);

    std::string node_;
    std::uint64_t incarnation_;
    ledger_settings settings_;
    std::string head_;
    std::uint64_t sequence_ = 0;
    ledger_segment open_; ///< no lines: nothing is open
    std::size_t open_bytes_ = 0;
    time_point opened_{};
    std::deque<sealed_segment> sealed_; ///< the front one is the next to be stored
    std::size_t sealed_bytes_ = 0;
    bool writing_ = false; ///< a create of the front segment is under way
    bool failing_ = false; ///< the last create was not answered as stored
    bool copies_held_ = false;
    bool closing_ = false;
    platform_call_id last_call_ = 0;
    time_point next_write_{};
    duration backoff_{};
    ledger_counters counters_;
};

} // namespace skylarkseam
