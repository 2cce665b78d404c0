// Tests single queries at a coordinator: snapshot choice, scatter, merge, coverage and deadline.
#include "small_configuration.hpp"

#include <skylarkseam/core/coordinator.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

struct fixture {
    explicit fixture(layout shape_of = {})
        : shape(shape_of)
        , config(make_configuration(shape)) {
        tested_coordinator.set_configuration(config, now);
        tested_coordinator.set_ownership(make_ownership(shape), now);
    }

    void handle(coordinator_input event) {
        out.clear();
        tested_coordinator.handle(std::move(event), now, out);
        for (const auto& it : out) {
            if (const auto* batch = std::get_if<coordinator_action::send_batch>(&it)) {
                sent.push_back(*batch);
            } else if (const auto* answer = std::get_if<coordinator_action::answer_query>(&it)) {
                answers.push_back(*answer);
            } else if (const auto* cancel = std::get_if<coordinator_action::send_cancel>(&it)) {
                cancels.push_back(*cancel);
            }
        }
    }

    void report_snapshots(const std::vector<snapshot_id>& snapshots) {
        for (std::uint32_t owner = 0; owner < shape.owners; ++owner) {
            coordinator_event::status_arrived status{owner_name(owner), {}};
            for (std::uint32_t n = owner; n < shape.replicas; n += shape.owners) {
                searcher_status it{searcher_name(n), true, shape.slots, 0, 0, {}};
                for (shard_id shard = 0; shard < shape.shards; ++shard) {
                    it.shards.push_back({shard, snapshots});
                }
                status.searchers.push_back(std::move(it));
            }
            handle(std::move(status));
        }
    }

    void submit(query_id id, const std::string& service = "search") {
        query_request request;
        request.caller = "crew";
        request.service = service;
        request.query_json = "{}";
        request.limit = 3;
        request.idempotency_key = service == "billing" ? "key" : "";
        handle(coordinator_event::query_arrived{id, request});
    }

    static subquery_reply reply_to(const subquery_batch& batch, std::size_t n) {
        subquery_reply reply;
        reply.query = batch.query;
        reply.attempt = batch.subqueries.at(n).attempt;
        reply.shard = batch.subqueries.at(n).shard;
        reply.snapshot = batch.snapshot;
        reply.outcome = subquery_outcome::answered;
        reply.dispatch_sequence = 1;
        return reply;
    }

    void advance(duration step) {
        now += step;
        handle(coordinator_event::time_passed{});
    }

    layout shape;
    std::shared_ptr<configuration> config;
    coordinator tested_coordinator{"node0/1", 7};
    time_point now{};
    std::vector<coordinator_output> out;
    std::vector<coordinator_action::send_batch> sent;
    std::vector<coordinator_action::send_cancel> cancels;
    std::vector<coordinator_action::answer_query> answers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_coordinator)

BOOST_AUTO_TEST_CASE(requests_status_first_and_then_scatters_one_batch_for_each_owner) {
    fixture it;
    it.submit(1);
    BOOST_TEST(it.sent.empty());
    BOOST_TEST(std::holds_alternative<coordinator_action::request_status>(it.out.front()));
    it.report_snapshots({4, 5});
    BOOST_TEST_REQUIRE(it.sent.size() == 1U);
    BOOST_TEST(it.sent.front().batch.subqueries.size() == 3U);
    BOOST_TEST(it.sent.front().batch.snapshot == 5U);
}

BOOST_AUTO_TEST_CASE(merges_by_score_then_id_with_each_id_once) {
    fixture it;
    it.report_snapshots({5});
    it.submit(1);
    const auto batch = it.sent.front().batch;
    for (std::size_t n = 0; n < 3; ++n) {
        auto reply = fixture::reply_to(batch, n);
        reply.hits = {{"same", 1.0 + static_cast<double>(n), "{}"}, {"own" + std::to_string(n), 2.5, "{}"}};
        it.handle(coordinator_event::reply_arrived{owner_name(0), reply});
    }
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    const auto& answer = it.answers.front().answer.value();
    BOOST_TEST(answer.covered.searched == 3U);
    BOOST_TEST_REQUIRE(answer.hits.size() == 3U);
    BOOST_TEST(answer.hits[0].id == "same");
    BOOST_TEST(answer.hits[0].score == 3.0);
    BOOST_TEST(answer.hits[1].id == "own0");
    BOOST_TEST(answer.hits[2].id == "own1");
}

BOOST_AUTO_TEST_CASE(answers_partially_at_the_deadline_and_lists_the_missing_shards) {
    fixture it;
    it.report_snapshots({5});
    it.submit(1);
    const auto batch = it.sent.front().batch;
    it.handle(coordinator_event::reply_arrived{owner_name(0), fixture::reply_to(batch, 0)});
    for (int n = 0; n < 20; ++n) {
        it.advance(milliseconds(10));
    }
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    const auto& answer = it.answers.front().answer.value();
    BOOST_TEST(answer.covered.searched == 1U);
    BOOST_TEST(answer.covered.missing.size() == 2U);
    BOOST_TEST(it.tested_coordinator.open_queries() == 0U);
}

BOOST_AUTO_TEST_CASE(drops_and_counts_replies_that_are_late_crossed_duplicate_or_of_another_snapshot) {
    fixture it;
    it.report_snapshots({5});
    it.submit(1);
    const auto batch = it.sent.front().batch;
    const auto good = fixture::reply_to(batch, 0);
    it.handle(coordinator_event::reply_arrived{owner_name(0), good});
    it.handle(coordinator_event::reply_arrived{owner_name(0), good});
    auto crossed = fixture::reply_to(batch, 1);
    crossed.shard = batch.subqueries.at(2).shard;
    it.handle(coordinator_event::reply_arrived{owner_name(0), crossed});
    auto other_query = fixture::reply_to(batch, 1);
    other_query.query = 99;
    it.handle(coordinator_event::reply_arrived{owner_name(0), other_query});
    auto other_snapshot = fixture::reply_to(batch, 1);
    other_snapshot.snapshot = 4;
    it.handle(coordinator_event::reply_arrived{owner_name(0), other_snapshot});
    BOOST_TEST(it.tested_coordinator.counters().replies_dropped == 4U);
    BOOST_TEST(it.answers.empty());
}

BOOST_AUTO_TEST_CASE(refuses_a_caller_over_its_limit_as_not_run) {
    fixture it;
    sharing_rule rule{"shares", "alerts", {{"crew", 1, 0.0, 1}}};
    it.config->rules["shares"] = rule;
    it.tested_coordinator.set_configuration(it.config, it.now);
    it.report_snapshots({5});
    it.submit(1);
    it.submit(2);
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    const auto& refusal = it.answers.front().answer.error();
    BOOST_TEST((refusal.kind == error_kind::caller_over_limit));
    BOOST_TEST((refusal.ran == run_state::no));
}

BOOST_AUTO_TEST_CASE(replans_all_shards_on_a_newer_snapshot_when_the_pinned_one_is_no_longer_held) {
    fixture it;
    it.report_snapshots({5});
    it.submit(1);
    const auto first = it.sent.front().batch;
    auto answered = fixture::reply_to(first, 0);
    answered.hits = {{"old", 9.0, "{}"}};
    it.handle(coordinator_event::reply_arrived{owner_name(0), answered});
    it.sent.clear();
    it.report_snapshots({6});
    auto not_held = fixture::reply_to(first, 1);
    not_held.outcome = subquery_outcome::snapshot_not_held;
    not_held.held = {6};
    it.handle(coordinator_event::reply_arrived{owner_name(0), not_held});
    BOOST_TEST_REQUIRE(it.sent.size() == 1U);
    const auto second = it.sent.front().batch;
    BOOST_TEST(second.snapshot == 6U);
    BOOST_TEST(second.subqueries.size() == 3U);
    for (std::size_t n = 0; n < 3; ++n) {
        it.handle(coordinator_event::reply_arrived{owner_name(0), fixture::reply_to(second, n)});
    }
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    BOOST_TEST(it.answers.front().answer.value().snapshot == 6U);
    BOOST_TEST(it.answers.front().answer.value().hits.empty());
}

BOOST_AUTO_TEST_CASE(plans_the_next_query_immediately_after_every_replica_refused_or_failed) {
    fixture it;
    it.report_snapshots({5});
    query_id id = 0;
    for (const auto outcome : {subquery_outcome::not_run_refused, subquery_outcome::not_run_shed,
                               subquery_outcome::failed, subquery_outcome::failed}) {
        it.sent.clear();
        it.submit(++id);
        BOOST_TEST_REQUIRE(it.sent.size() == 1U);
        for (std::size_t batch = 0; batch < it.sent.size(); ++batch) {
            const auto sent = it.sent.at(batch).batch;
            for (std::size_t n = 0; n < sent.subqueries.size(); ++n) {
                auto reply = fixture::reply_to(sent, n);
                reply.outcome = outcome;
                it.handle(coordinator_event::reply_arrived{owner_name(0), reply});
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(answers_not_run_immediately_when_every_replica_refuses) {
    fixture it;
    it.report_snapshots({5});
    it.submit(1);
    for (std::size_t batch = 0; batch < it.sent.size(); ++batch) {
        const auto sent = it.sent.at(batch).batch;
        for (std::size_t n = 0; n < sent.subqueries.size(); ++n) {
            auto reply = fixture::reply_to(sent, n);
            reply.outcome = subquery_outcome::not_run_refused;
            it.handle(coordinator_event::reply_arrived{owner_name(0), reply});
        }
    }
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    BOOST_TEST((it.answers.front().answer.error().kind == error_kind::overloaded));
    BOOST_TEST((it.answers.front().answer.error().ran == run_state::no));
}

BOOST_AUTO_TEST_SUITE(after_an_attempt_timed_out)

// Guards against two errors: avoiding a searcher for a timeout that the owner's queue caused, and not
// avoiding one that caused the timeout itself. There is one shard with two searchers, which usually take 10
// ms.
struct timed_out_fixture : fixture {
    timed_out_fixture()
        : fixture({1, 2, 4, 1}) {
        report_snapshots({5});
        for (query_id id = 1; id <= 20; ++id) {
            run_query(id, subquery_outcome::answered, milliseconds(10));
        }
    }

    /// Runs one query, whose first attempt ends with `outcome`.
    /// \return the searcher to which the attempt was sent
    std::string run_query(query_id id, subquery_outcome outcome, duration service) {
        sent.clear();
        submit(id);
        const auto batch = sent.at(0).batch;
        now += service;
        auto reply = reply_to(batch, 0);
        reply.outcome = outcome;
        reply.service = service;
        handle(coordinator_event::reply_arrived{owner_name(0), reply});
        return batch.subqueries.at(0).searcher;
    }

    /// Counts how many of the next 16 queries go to a searcher; they fit into the 200 ms for which it would
    /// be avoided.
    int count_sent_to(const std::string& searcher) {
        int n = 0;
        for (query_id id = 100; id < 116; ++id) {
            n += run_query(id, subquery_outcome::answered, milliseconds(10)) == searcher ? 1 : 0;
        }
        return n;
    }
};

BOOST_FIXTURE_TEST_CASE(does_not_penalize_a_searcher_that_received_it_just_before, timed_out_fixture) {
    const auto searcher = run_query(50, subquery_outcome::timed_out, milliseconds(3));
    BOOST_TEST(count_sent_to(searcher) >= 4);
}

BOOST_FIXTURE_TEST_CASE(avoids_a_searcher_that_had_it_for_most_of_the_deadline, timed_out_fixture) {
    const auto searcher = run_query(50, subquery_outcome::timed_out, milliseconds(150));
    BOOST_TEST(count_sent_to(searcher) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_effect)

BOOST_AUTO_TEST_CASE(sends_one_subquery_once_and_counts_only_its_shard) {
    fixture it({5, 2, 4, 2});
    it.report_snapshots({5});
    it.submit(1, "billing");
    BOOST_TEST_REQUIRE(it.sent.size() == 1U);
    const auto batch = it.sent.front();
    BOOST_TEST(batch.batch.subqueries.size() == 1U);
    BOOST_TEST(batch.batch.idempotency_key == "key");
    it.handle(coordinator_event::reply_arrived{batch.owner, fixture::reply_to(batch.batch, 0)});
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    BOOST_TEST(it.answers.front().answer.value().covered.total == 1U);
}

BOOST_AUTO_TEST_CASE(reports_an_unknown_outcome_and_resends_nothing_when_its_owner_fails_after_sending) {
    fixture it({5, 2, 4, 2});
    it.report_snapshots({5});
    it.submit(1, "billing");
    it.handle(coordinator_event::batch_failed{it.sent.front().owner, 1, {0}, true});
    for (int n = 0; n < 30; ++n) {
        it.advance(milliseconds(10));
    }
    BOOST_TEST(it.sent.size() == 1U);
    BOOST_TEST_REQUIRE(it.answers.size() == 1U);
    BOOST_TEST((it.answers.front().answer.error().kind == error_kind::outcome_unknown));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
