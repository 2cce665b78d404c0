// Runs many seeded schedules of faults. A checker verifies each answer using only what the fake searchers
// sent.
#include "../support/virtual_cluster.hpp"
#include "small_configuration.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// An answer that a fake searcher sent for one attempt.
struct sent_answer {
    std::string searcher;
    shard_id shard = 0;
    snapshot_id snapshot = 0;
};

/// Returns the hits of a shard at a snapshot, which are the same at all replicas. Hit ids repeat across
/// shards.
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

/// A cluster with fake searchers that fail at random.
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
            cluster_.after(milliseconds(n * 7), [this, n] { submit_query(n); });
        }
        cluster_.after(milliseconds(20), [this] { newest_ = 6; });
        cluster_.after(milliseconds(45), [this] { oldest_ = 6; });
        cluster_.after(milliseconds(60), [this] { repartition(); });
        if (with_probability(0.5)) {
            cluster_.after(milliseconds(75), [this] { cluster_.disconnect(nodes - 1); });
        }
        cluster_.run_until(cluster_.now + seconds(2));
    }

    int answered = 0;
    int complete = 0;
    std::set<std::string> faults; ///< Faults found by the checker.
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

    bool with_probability(double part) { return cluster_.uniform() < part; }

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
        const bool shed = with_probability(0.02);
        if (!shed && !sent.idempotency_key.empty()) {
            ++effects_run[sent.idempotency_key];
        }
        if (with_probability(0.03)) {
            delay *= 20;
        }
        if (with_probability(0.02)) {
            return {};
        }
        if (shed) {
            value.outcome = subquery_outcome::not_run_shed;
        } else if (with_probability(0.03)) {
            value.snapshot += 1; // Hits of another snapshot.
            value.hits = hits_of(sent.shard, value.snapshot);
        } else if (with_probability(0.03)) {
            value.request_id = "node9/1/1/1"; // Answer to another request.
        } else if (with_probability(0.02)) {
            value.hits.front().score = std::nan(""); // Malformed: the score is not a number.
        } else if (with_probability(0.02)) {
            value.outcome = subquery_outcome::failed;
        } else {
            sent_[{sent.shard, sent.snapshot}] += 1;
        }
        std::vector<timed_answer> all{{delay, value}};
        if (with_probability(0.05)) {
            all.push_back({delay * 2, value});
        }
        return all;
    }

    std::vector<timed_reply> deliver(const subquery_reply& reply) {
        std::vector<timed_reply> all{
            {with_probability(0.05) ? duration(milliseconds(30)) : duration{}, reply}};
        if (with_probability(0.05)) {
            all.push_back({milliseconds(1), reply});
        }
        if (with_probability(0.03)) {
            auto crossed = reply;
            crossed.query += 1;
            all.push_back({milliseconds(1), crossed});
        }
        if (with_probability(0.03)) {
            auto crossed = reply;
            crossed.shard = (crossed.shard + 1) % shape.shards;
            all.insert(all.begin(), {duration{}, crossed});
        }
        return all;
    }

    /// Replaces shard 5 by shards 6 and 7.
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

    void submit_query(int n) {
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
        report_if(cluster_.now > deadline, "answered after the deadline");
        if (!it.answer) {
            if (!key.empty() && it.answer.error().ran == run_state::no) {
                ++effects_answered_not_run;
                not_run_.insert(key);
            }
            return;
        }
        const auto& answer = it.answer.value();
        if (!key.empty()) {
            report_if(answer.covered.total != 1, "the coverage of an effect counts more than its shard");
            return;
        }
        complete += answer.covered.missing.empty() ? 1 : 0;
        check_coverage(answer);
    }

    void check_coverage(const query_answer& answer) {
        std::set<shard_id> searched;
        for (const auto& it : answer.dispatches) {
            report_if(!searched.insert(it.shard).second, "a shard is counted twice");
            report_if(sent_[{it.shard, answer.snapshot}] == 0,
                      "a shard is counted without a correct answer from a searcher");
        }
        const bool old_map = searched.contains(5) || contains(answer.covered.missing, 5);
        const bool new_map =
            searched.contains(6) || searched.contains(7) || contains(answer.covered.missing, 6);
        report_if(old_map && new_map, "an answer mixes two shard maps");
        report_if(answer.covered.total != (new_map ? 7U : 6U), "the total differs from the shard map");
        report_if(answer.covered.searched != searched.size(),
                  "the searched count differs from the merged shards");
        report_if(answer.covered.searched + answer.covered.missing.size() != answer.covered.total,
                  "searched and missing do not add up to the total");
        for (const auto shard : answer.covered.missing) {
            report_if(searched.contains(shard), "a shard is both searched and missing");
        }
        check_hits(answer, searched);
    }

    void check_hits(const query_answer& answer, const std::set<shard_id>& searched) {
        const auto expected = best_hits(searched, answer.snapshot, limit);
        report_if(answer.hits.size() != expected.size(), "wrong number of hits");
        const auto json = "{\"s\":" + std::to_string(answer.snapshot) + "}";
        for (std::size_t n = 0; n < std::min(expected.size(), answer.hits.size()); ++n) {
            report_if(answer.hits[n].id != expected[n].id || answer.hits[n].score != expected[n].score,
                      "wrong hit");
            report_if(answer.hits[n].json != json, "a hit comes from another snapshot");
        }
    }

    static bool contains(const std::vector<shard_id>& all, shard_id wanted) {
        return std::find(all.begin(), all.end(), wanted) != all.end();
    }
    void report_if(bool fault, const std::string& text) {
        if (fault) {
            faults.insert(text);
        }
    }

    virtual_cluster cluster_;
    std::shared_ptr<configuration> config_;
    std::shared_ptr<ownership> owners_;
    snapshot_id oldest_ = 5;
    snapshot_id newest_ = 5;
    /// Number of correct answers by shard and snapshot.
    std::map<std::pair<shard_id, snapshot_id>, int> sent_;

public:
    std::set<std::string> not_run_; ///< Keys of effects that were refused as not run.
};

} // namespace

BOOST_AUTO_TEST_SUITE(over_seeded_schedules)

BOOST_AUTO_TEST_CASE(every_answer_has_one_snapshot_true_coverage_and_exactly_its_hits) {
    constexpr std::uint64_t schedules = 1500;
    int complete = 0;
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
        complete += it.complete;
        dropped += it.dropped();
    }
    BOOST_TEST(complete > 0);
    BOOST_TEST(dropped > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
