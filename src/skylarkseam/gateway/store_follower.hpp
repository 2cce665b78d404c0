// Follows what the platform's store holds for a gateway: lists each kind once, then watches it, and lists
// again where the history is gone. Backs off with jitter from a store that fails, and says how old its word
// is.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>
#include <skylarkseam/gateway/routing.hpp>
#include <skylarkseam/gateway/store_kind.hpp>

#include <pcg_random.hpp>

#include <array>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

/// A zone whose searchers are to get no work.
struct zone_evacuation {
    std::string zone;
};

/// An entry that cannot be read; the text names the fault.
struct unreadable_entry {
    std::string fault;
};

using store_value =
    std::variant<unreadable_entry, std::shared_ptr<const routing_table>, searcher_record, zone_evacuation>;

/// One object of the store, or word that it is gone.
struct store_entry {
    std::string name;
    std::uint64_t revision = 0;
    bool deleted = false;
    store_value value;
    std::string text; ///< of a routing table: the object itself, for other gateways
};

struct store_page {
    std::vector<store_entry> entries;
    std::uint64_t revision = 0; ///< of the whole store, to watch from
    bool more = false;          ///< of a listing: it goes on after the last entry
};

enum class store_status {
    ok,
    history_gone, ///< of a watch: list again
    throttled,
    unavailable,
};

struct store_answer {
    store_status status = store_status::unavailable;
    store_page page;
    std::string detail; ///< names the fault
};

/// A call to the store; the shell sends it once.
struct store_call {
    store_kind kind = store_kind::routing;
    bool watch = false;
    std::string after;          ///< of a listing: the name to go on after
    std::uint64_t revision = 0; ///< of a watch: changes after it
    duration wait{};            ///< of a watch: how long the store may hold it
    duration timeout{};         ///< after which the call counts as failed
};

namespace store_event {
struct entry_changed {
    store_kind kind = store_kind::routing;
    store_entry entry;
    bool store_was_away = false;
};
/// A listing has ended; what it does not name is gone.
struct listed {
    store_kind kind = store_kind::routing;
    std::set<std::string> names;
    std::uint64_t revision = 0; ///< of the store when the listing began
    bool store_was_away = false;
};
/// Everything of the kind up to a revision is known.
struct confirmed {
    store_kind kind = store_kind::routing;
    std::uint64_t revision = 0;
};
struct store_lost {
    store_kind kind = store_kind::routing;
    std::string detail;
};
struct store_regained {
    store_kind kind = store_kind::routing;
    duration away{};
};
} // namespace store_event

using store_output = std::variant<store_event::entry_changed, store_event::listed, store_event::confirmed,
                                  store_event::store_lost, store_event::store_regained>;

struct store_timing {
    duration watch_wait = milliseconds(2000); ///< short, since a connection may go silent for good
    duration call_timeout = milliseconds(1200);
    duration gather =
        milliseconds(150); ///< between a watch's answer and the next watch: changes come in series
    duration first_pause = milliseconds(100);
    duration longest_pause = milliseconds(1500);
    duration patient_pause = milliseconds(4000);
    /// While nothing is known yet, no client can be served: calls are given up sooner, at first, and the
    /// pauses between them do not grow.
    duration urgent_timeout = milliseconds(400);
    /// For so long after a failed call entries may be missing that lapsed while the store was away.
    duration unsettled = seconds(4);
};

/// Invariant: at most one call of each kind is open.
class store_follower {
public:
    store_follower(store_timing timing, std::uint64_t seed);

    /// While it is not active no new calls are made. \param known  what is known meanwhile from elsewhere, so
    /// that a watch can go on from there
    void set_active(bool active, const store_revisions& known, time_point now);
    [[nodiscard]] bool active() const { return active_; }
    /// A gateway that relies on others for its knowledge asks a failing store less often.
    void set_relaxed_retry(bool patient) { patient_ = patient; }

    /// The calls that are due now.
    void take_calls(time_point now, std::vector<store_call>& out);
    void take_answer(store_kind kind, store_answer answer, time_point now, std::vector<store_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Whether every kind has been listed at least once.
    [[nodiscard]] bool listed_all() const;
    /// When the store last answered a call of that kind.
    [[nodiscard]] std::optional<time_point> heard(store_kind kind) const;
    [[nodiscard]] std::uint64_t revision(store_kind kind) const { return line_of(kind).revision; }

private:
    struct line {
        bool open = false;
        bool open_watch = false;
        bool listed_once = false;
        std::optional<std::uint64_t> listing_revision; ///< of the first page, while a listing goes on
        std::string after;
        std::set<std::string> names;
        std::uint64_t revision = 0; ///< to watch from; 0: list first
        time_point due{};
        duration pause{};
        std::uint32_t failures = 0; ///< in a row
        std::optional<time_point> failing_since;
        std::optional<time_point> heard;
    };

    [[nodiscard]] line& line_of(store_kind kind) { return lines_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] const line& line_of(store_kind kind) const {
        return lines_[static_cast<std::size_t>(kind)];
    }
    void take_listing(store_kind kind, store_page page, bool away, time_point now,
                      std::vector<store_output>& out);
    void fail(store_kind kind, const store_answer& answer, time_point now, std::vector<store_output>& out);
    [[nodiscard]] duration timeout_of(const line& it) const;
    [[nodiscard]] duration jittered(duration base);

    store_timing timing_;
    pcg32 random_;
    std::array<line, store_kinds.size()> lines_;
    std::optional<time_point> last_failure_;
    bool active_ = true;
    bool patient_ = false;
};

} // namespace skylarkseam
