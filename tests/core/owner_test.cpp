// One owner and its searchers: slots, queue, cold limits, authority, effects and what comes back.
#include "small_configuration.hpp"

#include <skylarkseam/core/owner.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr time_point far_future{seconds(1000000)};

struct fixture {
    explicit fixture(layout shape = {1, 1, 4, 1}, bool warm = true)
        : config(make_configuration(shape)) {
        node.set_configuration(config, now);
        node.set_authority({far_future, far_future});
        std::vector<std::string> all;
        for (std::uint32_t n = 0; n < shape.replicas; ++n) {
            all.push_back(searcher_name(n));
        }
        run([&](auto& out) { node.set_owned(all, warm, now, out); });
    }

    template <typename Action>
    void run(Action&& action) {
        std::vector<owner_output> out;
        action(out);
        for (const auto& it : out) {
            if (const auto* sent = std::get_if<owner_action::dispatch>(&it)) {
                dispatches.push_back(*sent);
            } else if (const auto* reply = std::get_if<owner_action::send_reply>(&it)) {
                replies.push_back(*reply);
            } else if (const auto* cancel = std::get_if<owner_action::cancel_dispatch>(&it)) {
                cancels.push_back(*cancel);
            }
        }
    }

    void handle(owner_input event) {
        run([&](auto& out) { node.handle(std::move(event), now, out); });
    }

    void batch(stream_id stream, std::uint32_t subqueries, const std::string& caller = "crew",
               const std::string& key = "", request_class cls = request_class::interactive) {
        owner_event::batch_arrived event;
        event.stream = stream;
        event.batch.query = stream;
        event.batch.coordinator = "node1/1";
        event.batch.caller = caller;
        event.batch.group = "alerts";
        event.batch.cls = cls;
        event.batch.snapshot = 5;
        event.batch.remaining = milliseconds(100);
        event.batch.idempotency_key = key;
        for (std::uint32_t n = 0; n < subqueries; ++n) {
            event.batch.subqueries.push_back({0, n, searcher_name(0), false});
        }
        handle(std::move(event));
    }

    void answer(std::size_t n, subquery_outcome outcome = subquery_outcome::answered,
                const std::string& boot_id = "b1") {
        const auto& sent = dispatches.at(n);
        upstream_answer value;
        value.outcome = outcome;
        value.request_id = sent.request_id;
        value.shard = sent.shard;
        value.snapshot = sent.snapshot;
        value.boot_id = boot_id;
        handle(owner_event::upstream_answered{sent.id, value});
    }

    void pass(duration step) {
        now += step;
        handle(owner_event::time_passed{});
    }

    std::shared_ptr<configuration> config;
    owner node{"node0"};
    time_point now{};
    std::vector<owner_action::dispatch> dispatches;
    std::vector<owner_action::send_reply> replies;
    std::vector<owner_action::cancel_dispatch> cancels;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_owner)

BOOST_AUTO_TEST_CASE(dispatches_within_the_slots_and_the_next_when_one_is_answered) {
    fixture it;
    it.batch(1, 6);
    BOOST_TEST(it.dispatches.size() == 4U);
    it.now += milliseconds(5);
    it.answer(0);
    BOOST_TEST(it.dispatches.size() == 5U);
    BOOST_TEST(it.node.in_flight() == 4U);
    BOOST_TEST_REQUIRE(it.replies.size() == 1U);
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::answered));
    BOOST_TEST(it.replies.front().reply.dispatch_sequence == 1U);
}

BOOST_AUTO_TEST_CASE(marks_the_last_reply_of_a_stream) {
    fixture it;
    it.batch(1, 2);
    it.answer(0);
    it.answer(1);
    BOOST_TEST_REQUIRE(it.replies.size() == 2U);
    BOOST_TEST(!it.replies[0].last);
    BOOST_TEST(it.replies[1].last);
}

BOOST_AUTO_TEST_CASE(keeps_the_slot_of_a_cancelled_dispatch_until_it_is_answered_or_past_its_deadline) {
    fixture it;
    it.batch(1, 4);
    it.handle(owner_event::cancel_arrived{1, {1, {}}});
    BOOST_TEST(it.cancels.size() == 4U);
    BOOST_TEST(it.replies.size() == 4U);
    it.batch(2, 1);
    BOOST_TEST(it.dispatches.size() == 4U);
    it.answer(0, subquery_outcome::cancelled);
    BOOST_TEST(it.dispatches.size() == 5U);
    it.pass(milliseconds(100));
    BOOST_TEST(it.node.in_flight() == 4U);
    it.pass(milliseconds(100));
    BOOST_TEST(it.node.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(turns_an_answer_for_another_request_into_a_failure) {
    fixture it;
    it.batch(1, 1);
    it.dispatches.front().request_id = "crossed";
    it.answer(0);
    BOOST_TEST_REQUIRE(it.replies.size() == 1U);
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::failed));
    BOOST_TEST(it.replies.front().reply.hits.empty());
}

BOOST_AUTO_TEST_SUITE(under_authority)

BOOST_AUTO_TEST_CASE(gives_cold_searchers_nothing_once_full_authority_has_ended) {
    fixture it({1, 1, 4, 1}, false);
    it.node.set_authority({time_point(seconds(1)), time_point(seconds(2))});
    it.now = time_point(seconds(1));
    it.batch(1, 1);
    BOOST_TEST(it.dispatches.empty());
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::not_run_refused));
    BOOST_TEST(!it.node.may_send(searcher_name(0), it.now));
}

BOOST_AUTO_TEST_CASE(serves_warm_searchers_until_warm_authority_ends) {
    fixture it;
    it.node.set_authority({time_point(seconds(1)), time_point(seconds(2))});
    it.now = time_point(seconds(1));
    it.batch(1, 1);
    BOOST_TEST(it.dispatches.size() == 1U);
    it.now = time_point(seconds(2));
    it.batch(2, 1);
    BOOST_TEST(it.dispatches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_searcher_taken_out)

BOOST_AUTO_TEST_CASE(refuses_the_queue_lets_running_work_end_and_returns_it_cold) {
    fixture it;
    it.batch(1, 6);
    auto out_config = std::make_shared<configuration>(*it.config);
    out_config->zones["kochi"].state = service_state::out;
    it.node.set_configuration(out_config, it.now);
    it.handle(owner_event::time_passed{});
    BOOST_TEST(it.replies.size() == 2U);
    BOOST_TEST(it.cancels.empty());
    it.now += milliseconds(5);
    for (std::size_t n = 0; n < 4; ++n) {
        it.answer(n);
    }
    BOOST_TEST(it.dispatches.size() == 4U);
    BOOST_TEST(it.replies.size() == 6U);
    it.node.set_configuration(it.config, it.now);
    it.batch(2, 4);
    BOOST_TEST(it.dispatches.size() == 5U);
    BOOST_TEST(it.node.view().front().last_reason == "returned");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_effect)

BOOST_AUTO_TEST_CASE(never_cancels_it_once_it_runs) {
    fixture it;
    it.batch(1, 1, "crew", "key");
    it.handle(owner_event::cancel_arrived{1, {1, {}}});
    it.handle(owner_event::stream_closed{1});
    BOOST_TEST(it.cancels.empty());
    BOOST_TEST(it.dispatches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refuses_a_batch_of_several) {
    fixture it;
    it.batch(1, 2, "crew", "key");
    BOOST_TEST(it.dispatches.empty());
    BOOST_TEST(it.replies.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
