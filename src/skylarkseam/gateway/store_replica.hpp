// What a gateway knows from the platform's store, whichever way it learned it: from the store itself or from
// another gateway. Of each object the highest revision wins, so that no source can take knowledge back.
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

/// One searcher's registration, or word that it has gone, as of a revision of the store.
struct registration {
    std::string id;
    std::uint64_t revision = 0;
    std::optional<searcher_record> record; ///< absent: the entry has gone
    bool store_was_away = false;           ///< it may have lapsed though the searcher lives

    friend bool operator==(const registration&, const registration&) = default;
};

/// Whether a zone is evacuated, as of a revision of the store.
struct evacuation {
    std::string zone;
    std::uint64_t revision = 0;
    bool active = false;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

/// The configuration as it stands in the store; only the platform's adapter reads the text.
struct routing_source {
    std::uint64_t version = 0;
    std::string text;
};

/// Where a reader of a gateway's knowledge stands: it has everything up to `sequence` of the process `epoch`.
struct replica_position {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t routing_version = 0;
};

/// What a reader does not have yet.
struct replica_update {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool full = false;           ///< every registration is in it; others had gone by the kind's revision
    store_revisions revisions{}; ///< of the store, up to which each kind is known
    std::vector<registration> registrations;
    std::vector<evacuation> evacuations;
    std::optional<routing_source> routing;
    duration age{}; ///< since the store confirmed all of it
    /// The reader learns from it that it has every registration; `revisions` says so on the wire.
    bool completes = false;

    [[nodiscard]] bool empty() const {
        return registrations.empty() && evacuations.empty() && !routing && !completes;
    }
};

/// What an update changed, for those who act on it.
struct knowledge_changes {
    std::vector<registration> registrations;
    std::vector<evacuation> evacuations;
};

class store_replica {
public:
    explicit store_replica(std::uint64_t epoch)
        : epoch_(epoch) {}

    /// Each returns whether it was news.
    bool apply(const registration& it);
    bool apply(const evacuation& it);
    bool apply(const routing_source& it);

    /// Takes an update that follows what its sender has sent before; all but the configuration, whose text
    /// only the platform's adapter reads.
    knowledge_changes apply(const replica_update& update);

    /// Everything of a kind up to `revision` is known; what was not named has gone.
    std::vector<registration> retain_searchers(const std::set<std::string>& listed, std::uint64_t revision,
                                               bool store_was_away);
    std::vector<evacuation> retain_evacuations(const std::set<std::string>& listed, std::uint64_t revision);
    /// Everything of the kind up to `revision` is known.
    void advance(store_kind kind, std::uint64_t revision);

    /// The store confirmed what is known at `when`.
    void confirm(time_point when);
    [[nodiscard]] std::optional<time_point> confirmed() const { return confirmed_; }

    [[nodiscard]] replica_position position() const { return {epoch_, sequence_, routing_.version}; }
    /// What a reader at `from` lacks.
    [[nodiscard]] replica_update update_since(const replica_position& from, time_point now) const;

    [[nodiscard]] std::set<std::string> evacuated_zones() const;
    [[nodiscard]] const routing_source& routing() const { return routing_; }
    /// Every registration is known, from a listing of the store or from another gateway that is complete.
    [[nodiscard]] bool complete() const { return completed_ > 0; }
    [[nodiscard]] std::size_t searchers() const { return registrations_.size() - gone_; }
    [[nodiscard]] const store_revisions& revisions() const { return revisions_; }

private:
    template <typename T>
    struct versioned {
        T value;
        std::uint64_t sequence = 0;
    };
    void forget_old_removals();
    /// What stood in the store at that revision is known: what is not known had gone by then.
    [[nodiscard]] bool is_settled(store_kind kind, std::uint64_t revision) const;

    std::uint64_t epoch_;
    std::uint64_t sequence_ = 0;
    std::uint64_t oldest_sequence_ = 0; ///< a reader before it gets everything
    std::uint64_t completed_ = 0;       ///< sequence at which it became complete; 0: it is not
    std::map<std::string, versioned<registration>> registrations_;
    std::size_t gone_ = 0; ///< of the registrations, those whose entries have gone
    std::map<std::string, versioned<evacuation>> evacuations_;
    routing_source routing_;
    store_revisions revisions_{};
    std::optional<time_point> confirmed_;
};

} // namespace skylarkseam
