// A gateway's copy of the objects in the platform's store. It is updated from the store or from another
// gateway. For each object the highest pair of the store's incarnation and the object's revision wins, so an
// outdated source cannot undo a newer change. The incarnation rises when the store returns from an older copy
// of its data; what was known before stays in use until its writers have had time to write it again.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>
#include <skylarkseam/gateway/routing.hpp>
#include <skylarkseam/gateway/store_kind.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkseam {

/// A searcher's registration, or a tombstone for a removed one, as of a revision of the store.
struct registration {
    std::string id;
    std::uint64_t revision = 0;            ///< 0 if it is known only from an earlier incarnation of the store
    std::optional<searcher_record> record; ///< Absent in a tombstone
    bool store_was_away = false; ///< Whether the entry may have expired in an outage while the searcher runs

    friend bool operator==(const registration&, const registration&) = default;
};

/// Whether a zone is evacuated, as of a revision of the store.
struct evacuation {
    std::string zone;
    std::uint64_t revision = 0; ///< 0 if it is known only from an earlier incarnation of the store
    bool active = false;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

/// The routing configuration as stored. Only the platform's adapter parses the text.
struct routing_source {
    std::uint64_t version = 0;
    std::string text;
};

/// A reader's position in the change sequence of a gateway's replica: it has all changes up to `sequence` of
/// the process `epoch`. A reader is a gateway that follows another one.
struct replica_position {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t routing_version = 0;
    std::uint64_t incarnation = 0; ///< Highest incarnation of the store that the reader knows
};

/// Position of a reader of registrations only: it has all changes up to a revision of the store.
struct searchers_position {
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0; ///< Incarnation of the store that the revision belongs to
};

/// The changes that a reader does not have yet, or a full copy.
struct replica_update {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0; ///< Incarnation of the store that the revisions belong to
    bool full =
        false; ///< Whether every registration is included; missing ones were removed by the kind's revision
    store_revisions revisions{}; ///< Store revision up to which each kind is known
    std::vector<registration> registrations;
    std::vector<evacuation> evacuations;
    std::optional<routing_source> routing;
    duration age{}; ///< Time since the store last confirmed the replica
    /// Whether the reader has every registration after this update. It is not sent; the reader derives it
    /// from `revisions`.
    bool completes_reader = false;
    /// Whether the reader learns of a new incarnation of the store. It is not sent.
    bool raises_incarnation = false;

    [[nodiscard]] bool empty() const {
        return registrations.empty() && evacuations.empty() && !routing && !completes_reader &&
               !raises_incarnation;
    }
};

/// The changes that an update made to the replica, for the caller to act on.
struct replica_changes {
    std::vector<registration> registrations;
    std::vector<evacuation> evacuations;
};

/// Versioned copy of the store's objects with a change sequence for readers. Invariants: the incarnation
/// never decreases; an object without a revision in the current incarnation stays as it was until settle()
/// removes it; the version of the configuration never decreases, whatever the incarnation.
class store_replica {
public:
    /// \param return_time  time that the writers of lost objects have to write them again, counted from the
    /// first listing of a new incarnation
    explicit store_replica(std::uint64_t epoch, duration return_time = seconds(5))
        : epoch_(epoch)
        , return_time_(return_time) {}

    /// Starts a new incarnation of the store. Returns false if it is not newer than the current one.
    bool begin_incarnation(std::uint64_t incarnation);
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    /// Removes the objects that were not written again in the current incarnation, once their time is over.
    replica_changes settle(time_point now);
    /// Time at which settle() has work to do.
    [[nodiscard]] std::optional<time_point> settles_at() const { return settles_at_; }

    /// Applies one object. Returns false if the replica already has this version or a newer one.
    bool apply(const registration& it);
    bool apply(const evacuation& it);
    bool apply(const routing_source& it);

    /// Applies an update that continues the sender's earlier updates. Nothing is taken from an update of an
    /// earlier incarnation of the store. The configuration is left to the
    /// caller, because only the platform's adapter parses its text.
    replica_changes apply(const replica_update& update);

    /// Applies a listing of a kind at `revision`: removes objects that are not in it and did not change
    /// later. Returns the removals.
    std::vector<registration> retain_searchers(const std::set<std::string>& listed, std::uint64_t revision,
                                               bool store_was_away);
    std::vector<evacuation> retain_evacuations(const std::set<std::string>& listed, std::uint64_t revision);
    /// Records that all changes of the kind up to `revision` are in the replica.
    void advance(store_kind kind, std::uint64_t revision);

    /// Records that the store confirmed the replica's content of one kind at `when`.
    void confirm(store_kind kind, time_point when);
    /// Records the same for every kind.
    void confirm(time_point when);
    /// Time up to which the store has confirmed every kind.
    [[nodiscard]] std::optional<time_point> confirmed() const;

    [[nodiscard]] replica_position position() const {
        return {epoch_, sequence_, routing_.version, incarnation_};
    }
    /// Returns the changes since a reader's position `from`, or a full copy if they are no longer available.
    [[nodiscard]] replica_update update_since(const replica_position& from, time_point now) const;

    [[nodiscard]] searchers_position searchers_known() const {
        return {revisions_[static_cast<std::size_t>(store_kind::searchers)], incarnation_};
    }
    /// Whether registrations have changed since a reader's position.
    [[nodiscard]] bool has_searchers_after(const searchers_position& from) const {
        return incarnation_ > from.incarnation || newest_searcher_ > from.revision;
    }
    /// Returns the registrations that have changed since a reader's position, and nothing else.
    [[nodiscard]] replica_update searchers_after(const searchers_position& from) const;

    [[nodiscard]] std::set<std::string> evacuated_zones() const;
    [[nodiscard]] const routing_source& routing() const { return routing_; }
    /// Whether every registration is known, from a listing of the store or from a gateway with a complete
    /// replica.
    [[nodiscard]] bool complete() const { return completed_sequence_ > 0; }
    [[nodiscard]] std::size_t searchers() const { return registrations_.size() - tombstones_; }
    [[nodiscard]] const store_revisions& revisions() const { return revisions_; }

private:
    template <typename T>
    struct versioned {
        T value;
        std::uint64_t sequence = 0;

        /// Whether it is known only from an earlier incarnation of the store.
        [[nodiscard]] bool carried_over() const { return value.revision == 0; }
    };
    void drop_oldest_tombstone();
    /// Whether the replica covers the store at that revision. An object of that revision that the
    /// replica does not have was already removed.
    [[nodiscard]] bool covers_revision(store_kind kind, std::uint64_t revision) const;

    std::uint64_t epoch_;
    duration return_time_;
    std::uint64_t incarnation_ = 0;
    /// Whether objects from an earlier incarnation may be present and are accepted from other gateways.
    bool settled_ = false;
    std::optional<time_point> settles_at_; ///< Set once every kind was listed in the current incarnation
    std::uint64_t sequence_ = 0;
    std::uint64_t oldest_delta_sequence_ = 0; ///< Readers before this sequence number get a full copy
    std::uint64_t completed_sequence_ =
        0; ///< Sequence number at which the replica became complete; 0 if it is not
    std::map<std::string, versioned<registration>> registrations_;
    std::uint64_t newest_searcher_ = 0; ///< Highest revision of a registration in the current incarnation
    std::size_t tombstones_ = 0;        ///< Number of tombstones among the registrations
    std::map<std::string, versioned<evacuation>> evacuations_;
    routing_source routing_;
    store_revisions revisions_{};
    std::array<std::optional<time_point>, store_kinds.size()> confirmed_;
};

} // namespace skylarkseam
