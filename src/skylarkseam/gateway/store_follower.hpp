// Lists and watches the gateway's objects in the platform's store. Each kind of object is listed once and
// then watched; it is listed again when the store has compacted the history after the watched revision.
// Failed calls are retried with a jittered backoff.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>
#include <skylarkseam/gateway/listing_cursor.hpp>
#include <skylarkseam/gateway/peer_group.hpp>
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

/// An evacuated zone; its searchers get no requests.
struct zone_evacuation {
    std::string zone;
};

/// A store entry that cannot be parsed, with the reason.
struct unreadable_entry {
    std::string fault;
};

using store_value =
    std::variant<unreadable_entry, std::shared_ptr<const routing_table>, searcher_record, zone_evacuation>;

/// One object of the store, or the deletion of one.
struct store_entry {
    std::string name;
    std::uint64_t revision = 0;
    bool deleted = false;
    store_value value;
    std::string text; ///< Source text of a routing table, for other gateways
};

struct store_page {
    std::vector<store_entry> entries;
    std::uint64_t revision = 0; ///< Revision of the whole store; a watch starts after it
    bool more = false;          ///< Whether a listing has more pages after the last entry
};

enum class store_status {
    ok,
    history_gone, ///< The store no longer has the changes after the watched revision
    throttled,
    unavailable,
};

struct store_answer {
    store_status status = store_status::unavailable;
    store_page page;
    std::string detail; ///< Description of the failure
    /// Incarnation of the store that answered. It rises each time the store returns from an older copy of its
    /// data, which loses the latest changes and gives out their revisions again. 0 if it is not stated.
    std::uint64_t incarnation = 0;
};

/// A call to the store. The shell sends it once, without retries.
struct store_call {
    store_kind kind = store_kind::routing;
    bool watch = false;
    std::string after;          ///< Last name of the previous page of a listing
    std::uint64_t revision = 0; ///< Revision after which a watch returns changes
    duration wait{};            ///< Maximum time for which the store may hold a watch open
    duration timeout{};         ///< Time after which the call counts as failed
};

namespace store_event {
struct entry_changed {
    store_kind kind = store_kind::routing;
    store_entry entry;
    bool store_was_away = false;
};
/// A listing has ended; if it is complete, objects that are not in `names` were removed.
struct listed {
    store_kind kind = store_kind::routing;
    std::set<std::string> names;
    /// Store revision at the start of the listing; 1 if it is incomplete, so that nothing counts as removed
    std::uint64_t revision = 0;
    bool store_was_away = false;
    bool complete = true; ///< False if the last page announced more and had no name to continue after
};
/// All changes of the kind up to a revision have been reported; 1 after an incomplete listing.
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
/// The store returned from an older copy: revisions and listings from before are no longer valid.
struct restored {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
};
} // namespace store_event

using store_output =
    std::variant<store_event::entry_changed, store_event::listed, store_event::confirmed,
                 store_event::store_lost, store_event::store_regained, store_event::restored>;

/// The kinds of objects that a gateway reads from the store itself.
enum class store_scope {
    nothing,
    searchers, ///< So that reports of searchers arrive by a second way
    everything,
};

struct store_timing {
    /// Maximum time for which the store holds a watch open. It is short because a connection can stall for
    /// good without an error.
    duration watch_wait = milliseconds(2000);
    /// Wait of the first watch after a start or a failure, so that it confirms soon what is known.
    duration first_watch_wait = milliseconds(50);
    duration call_timeout = milliseconds(1200);
    /// Time after the end of its wait after which a watch counts as failed.
    duration watch_slack = milliseconds(800);
    /// Time between a watch's answer and the next watch, so that a burst of changes is read in one answer.
    duration watch_batch_delay = milliseconds(150);
    /// Time after an incomplete listing until the next one.
    duration incomplete_listing_interval = seconds(5);
    duration initial_backoff = milliseconds(100);
    duration max_backoff = milliseconds(1500);
    /// Backoff of a gateway that watches the store in the stead of another one. It asks for the
    /// configuration only until the store answers, so that a store which is away gets few calls from a large
    /// group.
    duration relaxed_backoff = milliseconds(2000);
    /// Time of failed calls after which the store counts as lost; a single call may fail at any time.
    duration loss_time = milliseconds(300);
    /// Timeout of the first call before the first listing is complete, when no client can be served. It is
    /// shorter than `call_timeout` and grows with each failure, while the backoff stays constant.
    duration initial_call_timeout = milliseconds(400);
    /// Time after a failed call in which a missing entry may have expired because of the store outage.
    duration lapse_window = seconds(4);

    /// Timing of a gateway whose peers use `peers`: a watch confirms the data before they count it as stale.
    [[nodiscard]] static store_timing for_peers(const peer_timing& peers);
};

/// State machine of the listings and watches of all kinds. Invariants: at most one call of each kind is open;
/// nothing is taken from an incarnation of the store before the highest known one, nor from a call that
/// continues what was known of an earlier incarnation.
class store_follower {
public:
    store_follower(store_timing timing, std::uint64_t seed);

    /// Sets the kinds for which new calls are made.
    /// \param known  revisions received from other gateways meanwhile, from which watches can continue
    void set_scope(store_scope scope, const store_revisions& known, time_point now);
    [[nodiscard]] store_scope scope() const { return scope_; }
    /// Takes over the store's incarnation from another gateway. If it is new, everything is listed again.
    void note_incarnation(std::uint64_t incarnation, time_point now);
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    /// Selects the mode of a gateway that watches the store only in the stead of another one.
    void set_relaxed_retry(bool relaxed) { relaxed_retry_ = relaxed; }

    /// Appends the calls that are due now.
    void take_calls(time_point now, std::vector<store_call>& out);
    void take_answer(store_kind kind, store_answer answer, time_point now, std::vector<store_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    /// Time from which the store counts as lost, because calls of a kind have failed since then; it may lie
    /// in the future. Empty while calls succeed or none are made.
    [[nodiscard]] std::optional<time_point> lost_at() const;
    /// Whether every kind has been listed at least once.
    [[nodiscard]] bool listed_all() const;
    /// Time at which the store last answered a call of that kind.
    [[nodiscard]] std::optional<time_point> last_answer_at(store_kind kind) const;
    [[nodiscard]] std::uint64_t revision(store_kind kind) const { return state_of(kind).revision; }

private:
    struct kind_state {
        bool open = false;
        bool open_watch = false;
        bool confirm_soon = false;          ///< Whether the next watch uses `first_watch_wait`
        bool open_continues = false;        ///< Whether the open call continues an earlier answer
        std::uint64_t open_incarnation = 0; ///< Known incarnation when the open call was made
        bool listed_once = false;
        std::optional<std::uint64_t>
            listing_revision; ///< Revision of the first page; set while a listing is in progress
        listing_cursor cursor;
        std::optional<time_point> list_again_at; ///< Set after an incomplete listing
        std::uint64_t revision = 0;              ///< Revision to watch from; 0 if a listing is needed first
        time_point called_at{};                  ///< Time of the last call
        duration open_wait{};                    ///< Wait of the last watch
        time_point due{};
        duration backoff{};
        std::uint32_t failures = 0; ///< Number of consecutive failures
        std::optional<time_point> failing_since;
        std::optional<time_point> last_answer_at;
    };

    [[nodiscard]] static bool includes(store_scope scope, store_kind kind);
    /// Whether the objects of the kind are known, from an own listing or from other gateways.
    [[nodiscard]] static bool is_known(const kind_state& it) { return it.listed_once || it.revision > 0; }
    [[nodiscard]] kind_state& state_of(store_kind kind) { return states_[static_cast<std::size_t>(kind)]; }
    [[nodiscard]] const kind_state& state_of(store_kind kind) const {
        return states_[static_cast<std::size_t>(kind)];
    }
    /// Returns false if the answer belongs to an earlier incarnation of the store.
    bool accept_incarnation(kind_state& it, const store_answer& answer, time_point now,
                            std::vector<store_output>& out);
    void list_all_again(time_point now);
    void take_listing(store_kind kind, store_page page, bool store_was_away, time_point now,
                      std::vector<store_output>& out);
    void handle_failure(store_kind kind, const store_answer& answer, time_point now,
                        std::vector<store_output>& out);
    /// Whether calls of that kind are made. While it is not known whether the store answers, only the
    /// configuration is asked for.
    [[nodiscard]] bool calls_for(store_kind kind) const {
        return includes(scope_, kind) && (!probing_ || kind == store_kind::routing);
    }
    [[nodiscard]] bool may_probe() const;
    [[nodiscard]] duration timeout_of(const kind_state& it) const;
    [[nodiscard]] duration jittered(duration base);

    store_timing timing_;
    pcg32 random_;
    std::array<kind_state, store_kinds.size()> states_;
    std::uint64_t incarnation_ = 0; ///< Highest incarnation of the store seen; 0 if none was stated
    std::optional<time_point> last_failure_;
    store_scope scope_ = store_scope::everything;
    bool relaxed_retry_ = false;
    bool probing_ = false; ///< Whether only the configuration is asked for, until the store answers
};

} // namespace skylarkseam
