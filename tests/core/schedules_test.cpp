// Thousands of seeded schedules of faults, each judged by a checker that knows only what the fake searchers
// sent.
#include "../support/virtual_cluster.hpp"
#include "small_configuration.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// What one fake searcher sent for one attempt.
struct sent_answer {
    std::string searcher;
    shard_id shard = 0;
    snapshot_id snapshot = 0;
};

/// The hits that a shard has at a snapshot: the same at every replica. Ids repeat between shards.
std::vector<hit> hits_of(shard_id shard, snapshot_id snapshot) {
    std::vector<hit> hits;
    const std::uint64_t base = shard;
    for (std::uint64_t n = 0; n < 4; ++n) {
        const auto id = (base * 2 + n) % 9;
        const auto score = static_cast<double>((base * 7 + n * 5 + snapshot * 3) % 11);
        hits.push_back({"h" + std::to_string(id), score, "{\"s\":" + std::to_string(snapshot) + "}"});
    }
    return hits;
}

std::vector<hit> best_hits(const std::set<shard_id>& shards, snapshot_id snapshot, std::size_t limit) {
    std::map<std::string, double> best;
    for (const auto shard : shards) {
        for (const auto& it : hits_of(shard, snapshot)) {
            const auto [at, is_new] = best.try_emplace(it.id, it.score);
            at->second = std::max(at->second, it.score);
        }
    }
    std::vector<hit> ranked;
    ranked.reserve(best.size());
    for (const auto& [id, score] : best) {
        ranked.push_back({id, score, {}});
    }
    std::sort(ranked.begin(), ranked.end(), [](const hit& a, const hit& b) {
        return a.score > b.score || (a.score == b.score && a.id < b.id);
    });
    ranked.resize(std::min(ranked.size(), limit));
    return ranked;
}

/// One cluster with fake searchers that misbehave at random.
class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : cluster_(nodes, seed)
        , config_(make_configuration(shape))
        , owners_(make_ownership(shape)) {
        cluster_.respond = [this](const auto& sent, auto now) { return respond(sent, now); };
        cluster_.health = [this](const auto& name, auto) { return health(name); };
        cluster_.deliver = [this](const auto& reply) { return deliver(reply); };
        cluster_.set_configuration(config_);
        cluster_.set_ownership(owners_, true);
        cluster_.run_until(time_point(seconds(1) + milliseconds(10)));
    }

    void run() {
        for (int n = 0; n < queries; ++n) {
            cluster_.after(milliseconds(n * 7), [this, n] { ask(n); });
        }
        cluster_.after(milliseconds(20), [this] { newest_ = 6; });
        cluster_.after(milliseconds(45), [this] { oldest_ = 6; });
        cluster_.after(milliseconds(60), [this] { repartition(); });
        if (chance(0.5)) {
            cluster_.after(milliseconds(75), [this] { cluster_.lose(nodes - 1); });
        }
        cluster_.run_until(cluster_.now + seconds(2));
    }

    int answered = 0;
    int whole = 0;
    std::set<std::string> faults; ///< what the checker found
    std::map<std::string, int> effects_run;
    int effects_answered_not_run = 0;

    [[nodiscard]] std::uint64_t dropped() {
        std::uint64_t n = 0;
        for (std::uint32_t it = 0; it < cluster_.size(); ++it) {
            n += cluster_.at_node(it).queries.counters().replies_dropped;
        }
        return n;
    }

    static constexpr int queries = 16;

private:
    static constexpr std::uint32_t nodes = 3;
    static constexpr layout shape{6, 6, 4, nodes};
    static constexpr std::uint32_t limit = 5;

    bool chance(double part) { return cluster_.uniform() < part; }

    std::vector<snapshot_id> held() const {
        std::vector<snapshot_id> all;
        for (snapshot_id it = oldest_; it <= newest_; ++it) {
            all.push_back(it);
        }
        return all;
    }

    upstream_health health(const std::string& name) {
        upstream_health value{true, upstream_state::warm, "boot-1", {}};
        for (const auto& it : config_->groups.at("alerts").searchers) {
            if (it.name == name) {
                for (const auto shard : it.shards) {
                    value.shards.push_back({shard, held()});
                }
            }
        }
        return value;
    }

    std::vector<timed_answer> respond(const owner_action::dispatch& sent, time_point /*now*/) {
        auto value = good_answer(sent);
        value.hits = hits_of(sent.shard, sent.snapshot);
        auto delay = milliseconds(1) + cluster_.exponential(milliseconds(2));
        if (sent.snapshot < oldest_) {
            value = {};
            value.outcome = subquery_outcome::snapshot_not_held;
            return {{delay, value}};
        }
        const bool shed = chance(0.02);
        if (!shed && !sent.idempotency_key.empty()) {
            ++effects_run[sent.idempotency_key];
        }
        if (chance(0.03)) {
            delay *= 20;
        }
        if (chance(0.02)) {
            return {};
        }
        if (shed) {
            value.outcome = subquery_outcome::not_run_shed;
        } else if (chance(0.03)) {
            value.snapshot += 1; // mixed: another snapshot's hits
            value.hits = hits_of(sent.shard, value.snapshot);
        } else if (chance(0.03)) {
            value.request_id = "node9/1/1/1"; // crossed
        } else if (chance(0.02)) {
            value.hits.front().score = std::nan(""); // wrongly shaped
        } else if (chance(0.02)) {
            value.outcome = subquery_outcome::failed;
        } else {
            sent_[{sent.shard, sent.snapshot}] += 1;
        }
        std::vector<timed_answer> all{{delay, value}};
        if (chance(0.05)) {
            all.push_back({delay * 2, value});
        }
        return all;
    }

    std::vector<timed_reply> deliver(const subquery_reply& reply) {
        std::vector<timed_reply> all{{chance(0.05) ? duration(milliseconds(30)) : duration{}, reply}};
        if (chance(0.05)) {
            all.push_back({milliseconds(1), reply});
        }
        if (chance(0.03)) {
            auto crossed = reply;
            crossed.query += 1;
            all.push_back({milliseconds(1), crossed});
        }
        if (chance(0.03)) {
            auto crossed = reply;
            crossed.shard = (crossed.shard + 1) % shape.shards;
            all.insert(all.begin(), {duration{}, crossed});
        }
        return all;
    }

    /// Shard 5 becomes shards 6 and 7.
    void repartition() {
        auto next = std::make_shared<configuration>(*config_);
        next->generation = 2;
        for (auto& it : next->groups["alerts"].searchers) {
            it.shards.back() = 6;
            it.shards.push_back(7);
        }
        config_ = next;
        cluster_.set_configuration(config_);
    }

    void ask(int n) {
        query_request request;
        request.caller = "crew" + std::to_string(n % 2);
        const bool effect = n % 4 == 3;
        request.service = effect ? "billing" : "search";
        request.idempotency_key = effect ? "key" + std::to_string(n) : "";
        request.query_json = "{}";
        request.limit = limit;
        request.deadline = milliseconds(40 + 20 * (n % 5));
        const auto key = request.idempotency_key;
        const auto at = static_cast<std::uint32_t>(n) % (nodes - 1);
        const auto deadline = cluster_.now + *request.deadline;
        cluster_.submit(at, request, [this, key, deadline](const auto& it) { check(it, key, deadline); });
    }

    void check(const coordinator_action::answer_query& it, const std::string& key, time_point deadline) {
        ++answered;
        note(cluster_.now > deadline, "answered after the deadline");
        if (!it.answer) {
            if (!key.empty() && it.answer.error().ran == run_state::no) {
                ++effects_answered_not_run;
                not_run_.insert(key);
            }
            return;
        }
        const auto& answer = it.answer.value();
        if (!key.empty()) {
            note(answer.covered.total != 1, "an effect counts more than its shard");
            return;
        }
        whole += answer.covered.missing.empty() ? 1 : 0;
        check_coverage(answer);
    }

    void check_coverage(const query_answer& answer) {
        std::set<shard_id> searched;
        for (const auto& it : answer.dispatches) {
            note(!searched.insert(it.shard).second, "a shard counted twice");
            note(sent_[{it.shard, answer.snapshot}] == 0, "a shard counted that no searcher answered for");
        }
        const bool old_map = searched.contains(5) || contains(answer.covered.missing, 5);
        const bool new_map =
            searched.contains(6) || searched.contains(7) || contains(answer.covered.missing, 6);
        note(old_map && new_map, "two shard maps in one answer");
        note(answer.covered.total != (new_map ? 7U : 6U), "the total is not that of the shard map");
        note(answer.covered.searched != searched.size(), "the count is not that of the merged shards");
        note(answer.covered.searched + answer.covered.missing.size() != answer.covered.total,
             "searched and missing do not make the total");
        for (const auto shard : answer.covered.missing) {
            note(searched.contains(shard), "a shard both searched and missing");
        }
        check_hits(answer, searched);
    }

    void check_hits(const query_answer& answer, const std::set<shard_id>& searched) {
        const auto expected = best_hits(searched, answer.snapshot, limit);
        note(answer.hits.size() != expected.size(), "wrong number of hits");
        const auto json = "{\"s\":" + std::to_string(answer.snapshot) + "}";
        for (std::size_t n = 0; n < std::min(expected.size(), answer.hits.size()); ++n) {
            note(answer.hits[n].id != expected[n].id || answer.hits[n].score != expected[n].score,
                 "wrong hit");
            note(answer.hits[n].json != json, "a hit of another snapshot");
        }
    }

    static bool contains(const std::vector<shard_id>& all, shard_id wanted) {
        return std::find(all.begin(), all.end(), wanted) != all.end();
    }
    void note(bool fault, const std::string& text) {
        if (fault) {
            faults.insert(text);
        }
    }

    virtual_cluster cluster_;
    std::shared_ptr<configuration> config_;
    std::shared_ptr<ownership> owners_;
    snapshot_id oldest_ = 5;
    snapshot_id newest_ = 5;
    std::map<std::pair<shard_id, snapshot_id>, int> sent_; ///< good answers by shard and snapshot

public:
    std::set<std::string> not_run_; ///< keys of effects that were refused as not run
};

} // namespace

BOOST_AUTO_TEST_SUITE(over_seeded_schedules)

BOOST_AUTO_TEST_CASE(every_answer_has_one_snapshot_true_coverage_and_exactly_its_hits) {
    constexpr std::uint64_t schedules = 1500;
    int whole = 0;
    std::uint64_t dropped = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        schedule it(seed);
        it.run();
        BOOST_TEST_CONTEXT("seed " << seed) {
            for (const auto& fault : it.faults) {
                BOOST_ERROR(fault);
            }
            BOOST_TEST_REQUIRE(it.answered == schedule::queries);
            for (const auto& [key, runs] : it.effects_run) {
                BOOST_TEST(runs <= 1, key << " ran " << runs << " times");
                BOOST_TEST(!it.not_run_.contains(key), key << " ran though it was refused as not run");
            }
        }
        whole += it.whole;
        dropped += it.dropped();
    }
    BOOST_TEST(whole > 0);
    BOOST_TEST(dropped > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
