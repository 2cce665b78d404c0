// Keeps the requests that are refused because they crash searchers in the platform's store, so that they are
// known after all gateways have ended at once. Between running gateways the word is spread without the store
// (suspect_exchange.hpp), so the store is read at a start and then seldom, more often only while a gateway
// hears from no other zone.
#pragma once

#include <skylarkseam/gateway/crash_suspects.hpp>
#include <skylarkseam/gateway/listing_cursor.hpp>

#include <pcg_random.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkseam {

struct stored_suspect {
    std::string fingerprint;
    std::uint64_t revision = 0;
    std::vector<std::string> searchers; ///< Searchers that ended under the request
};

struct suspect_store_call {
    enum class kind { list, create, remove };
    kind what = kind::list;
    std::string after;         ///< Last name of the previous page of a listing
    bool may_be_stale = false; ///< Whether the listing may be some seconds old
    stored_suspect entry;      ///< The entry to create or to remove
};

enum class suspect_store_status {
    done,
    exists, ///< Another gateway has created the entry
    unavailable,
};

struct suspect_store_answer {
    suspect_store_status status = suspect_store_status::unavailable;
    std::vector<stored_suspect> entries; ///< Of a page of a listing
    /// Names of all objects of the page in its order, also of those that are no entries.
    std::vector<std::string> names;
    bool more = false;
    std::string detail; ///< Description of the failure
};

/// A call as it is sent to the store.
struct store_request {
    std::string method;
    std::string target; ///< Path and query
    std::string body;   ///< JSON; empty if the call has none
};

/// What a gateway's place in the group means for its calls to the store.
struct store_duty {
    bool watching = false; ///< Whether the gateway watches the store
    bool alone = false;    ///< Whether it watches the store and hears from no other zone
};

/// Invariant: at most one call is open. No absolute time is stored: a gateway counts the age of an entry from
/// when it first sees it.
class suspect_store {
public:
    explicit suspect_store(std::uint64_t seed)
        : random_(seed) {}

    /// This gateway itself has found out that a request is to be refused.
    void note_found(const std::string& fingerprint) { found_.insert(fingerprint); }
    /// The store has returned from an older copy, which may lack entries.
    void note_restored(time_point now);

    [[nodiscard]] std::optional<suspect_store_call> take_call(const crash_suspects& known, store_duty duty,
                                                              time_point now);
    /// Returns what the gateway did not know yet.
    std::vector<suspect_report> take_answer(const suspect_store_call& call,
                                            const suspect_store_answer& answer, time_point now);

    /// Whether the next page of a listing is to be read.
    [[nodiscard]] bool listing() const { return !cursor_.after().empty(); }

    [[nodiscard]] std::optional<time_point> next_wakeup(const crash_suspects& known, store_duty duty,
                                                        time_point now) const;

private:
    [[nodiscard]] std::optional<suspect_store_call> next_write(const crash_suspects& known, store_duty duty,
                                                               time_point now);
    std::vector<suspect_report> take_page(const suspect_store_answer& answer, time_point now);
    [[nodiscard]] time_point list_due(store_duty duty) const;
    [[nodiscard]] duration jittered(duration base);

    pcg32 random_;
    bool open_ = false;
    bool listed_ = false;              ///< Whether a listing is complete
    bool restored_ = true;             ///< Whether the next listing must not be stale
    time_point due_{};                 ///< Time from which a call may be made
    time_point listed_at_{};           ///< Time of the last listing
    duration list_wait_{};             ///< Time after which the entries are listed again
    time_point written_again_until_{}; ///< Time up to which lost entries are written again soon
    listing_cursor cursor_;            ///< Position in the listing in progress
    std::uint32_t failures_ = 0;
    std::map<std::string, std::uint64_t> stored_;  ///< Revisions by fingerprint, as of the last listing
    std::map<std::string, std::uint64_t> listing_; ///< The same of the listing in progress
    std::set<std::string> found_;                  ///< Requests that this gateway itself found
    std::set<std::string> created_;                ///< Requests that this gateway has stored
    std::map<std::string, time_point> write_due_;  ///< Time at which this gateway writes in another's stead
};

} // namespace skylarkseam
