// All searchers known to a gateway, with their registrations from the platform's store and the results of
// recent requests to them.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylarkseam {

/// Zone and region of this host, and the region of each zone.
struct placement_view {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_of_zone;

    /// Region of a zone; empty if the zone is not known.
    [[nodiscard]] std::string region_of(const std::string& other) const;
    [[nodiscard]] distance distance_to(const std::string& other) const;
};

struct directory_timing {
    /// Time for which a searcher is kept after its entry was removed from the store, because it continues to
    /// serve for a while. Entries that expired during a store outage reappear within about two seconds after
    /// the store is available again.
    duration removal_grace = milliseconds(2300);
    /// Time after which a draining searcher gets no requests at all, even if no other searcher is available;
    /// counted from the earliest moment at which its entry may have been written.
    duration drain_grace = milliseconds(2500);
    /// Time in which a report of a searcher is written and reaches every host.
    duration report_time = seconds(6);
    /// Time after the store has returned from an older copy of its data in which an entry does not bring a
    /// leaving searcher back: the copy may be older than the searcher's last entry.
    duration restore_grace = seconds(6);
    /// Time for which a removed searcher is remembered for that purpose; the copies are seconds old.
    duration removal_memory = seconds(20);
};

using known_searcher_ptr = std::shared_ptr<known_searcher>;

/// Index of all known searchers by id and by service. Invariants: each id occurs once. A searcher that
/// registers with another start time or address gets a new object, so that attempts on the earlier process do
/// not affect its state.
class directory {
public:
    using observer =
        std::function<void(const known_searcher& it, std::string_view state, std::string_view reason)>;

    directory(placement_view view, directory_timing timing, observer on_change);

    /// Adds or updates a searcher from its current registration in the store.
    /// \param knowledge_age  time since the store confirmed what was known before; the entry may have been
    /// written at any moment of it
    void put(const searcher_record& record, time_point now, duration knowledge_age = {});
    /// Handles the removal of a searcher's entry from the store.
    /// \param store_was_away  the store had an outage, so the entry may have expired while the searcher runs
    void remove(const std::string& id, bool store_was_away, time_point now, duration knowledge_age = {});
    /// Removes all searchers that are not in a full listing of the store.
    void retain(const std::set<std::string>& listed, bool store_was_away, time_point now);

    /// Handles the store's return from an older copy of its data.
    void note_store_restored(time_point now) { restored_until_ = now + timing_.restore_grace; }

    /// Sets the zones whose searchers get no work. Those of a zone that returns may be cold.
    void set_evacuated(const std::set<std::string>& zones, time_point now);

    /// Deletes the searchers whose entries were removed more than `removal_grace` ago, and takes the entries
    /// that were held back after a return of the store.
    void expire(time_point now);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Marks a searcher as replaced because another searcher answered at its address. It gets no more
    /// requests unless it registers again.
    void mark_replaced(known_searcher& it);

    [[nodiscard]] const std::vector<known_searcher_ptr>& of_service(const std::string& service) const;
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    /// Number of searchers with that fault.
    [[nodiscard]] std::size_t count(searcher_fault fault) const;
    [[nodiscard]] const std::map<std::string, known_searcher_ptr>& all() const { return by_id_; }
    [[nodiscard]] bool drained(const known_searcher& it, time_point now) const;
    /// Whether the searcher is cold, or may be and its report has not arrived yet.
    /// \param warm_up  longest time for which a searcher of its service stays cold
    [[nodiscard]] bool may_be_cold(const known_searcher& it, duration warm_up, time_point now) const;
    [[nodiscard]] const std::set<std::string>& evacuated() const { return evacuated_; }

private:
    /// \param left_at  time at which a draining searcher may have begun to leave
    void add(const searcher_record& record, time_point left_at, time_point now);
    /// Whether the entry may be older than what is known, because the store has returned from an older copy.
    [[nodiscard]] bool may_be_outdated(const searcher_record& record, time_point now) const;
    void drop(const std::string& id);

    placement_view view_;
    directory_timing timing_;
    observer on_change_;
    std::map<std::string, known_searcher_ptr> by_id_;
    std::map<std::string, std::vector<known_searcher_ptr>> by_service_;
    /// Deletion time by id of searchers without an entry in the store.
    std::map<std::string, time_point> removals_;
    std::set<std::string> evacuated_;
    time_point restored_until_{};
    /// Entries by id that are taken only at `restored_until_`.
    std::map<std::string, searcher_record> held_back_;
    struct removed_searcher {
        std::int64_t started_at = 0;
        time_point when{};
    };
    std::map<std::string, removed_searcher> removed_; ///< Recently removed searchers by id.
};

} // namespace skylarkseam
