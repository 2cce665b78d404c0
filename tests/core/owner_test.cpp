// One owner and its searchers: slots, queue, cold limits, authority, effects and the replies to the
// coordinator.
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

    void send_batch(stream_id stream, std::uint32_t subqueries, const std::string& caller = "crew",
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

    void answer_dispatch(std::size_t n, subquery_outcome outcome = subquery_outcome::answered,
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

    void advance_time(duration step) {
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

BOOST_AUTO_TEST_CASE(dispatches_up_to_the_slot_limit_and_the_next_after_an_answer) {
    fixture it;
    it.send_batch(1, 6);
    BOOST_TEST(it.dispatches.size() == 4U);
    it.now += milliseconds(5);
    it.answer_dispatch(0);
    BOOST_TEST(it.dispatches.size() == 5U);
    BOOST_TEST(it.node.in_flight() == 4U);
    BOOST_TEST_REQUIRE(it.replies.size() == 1U);
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::answered));
    BOOST_TEST(it.replies.front().reply.dispatch_sequence == 1U);
}

BOOST_AUTO_TEST_CASE(marks_the_last_reply_of_a_stream) {
    fixture it;
    it.send_batch(1, 2);
    it.answer_dispatch(0);
    it.answer_dispatch(1);
    BOOST_TEST_REQUIRE(it.replies.size() == 2U);
    BOOST_TEST(!it.replies[0].last);
    BOOST_TEST(it.replies[1].last);
}

BOOST_AUTO_TEST_CASE(keeps_the_slot_of_a_cancelled_dispatch_until_it_is_answered_or_past_its_deadline) {
    fixture it;
    it.send_batch(1, 4);
    it.handle(owner_event::cancel_arrived{1, {1, {}}});
    BOOST_TEST(it.cancels.size() == 4U);
    BOOST_TEST(it.replies.size() == 4U);
    it.send_batch(2, 1);
    BOOST_TEST(it.dispatches.size() == 4U);
    it.answer_dispatch(0, subquery_outcome::cancelled);
    BOOST_TEST(it.dispatches.size() == 5U);
    it.advance_time(milliseconds(100));
    BOOST_TEST(it.node.in_flight() == 4U);
    it.advance_time(milliseconds(100));
    BOOST_TEST(it.node.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(treats_an_answer_to_another_request_as_a_failure) {
    fixture it;
    it.send_batch(1, 1);
    it.dispatches.front().request_id = "crossed";
    it.answer_dispatch(0);
    BOOST_TEST_REQUIRE(it.replies.size() == 1U);
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::failed));
    BOOST_TEST(it.replies.front().reply.hits.empty());
}

BOOST_AUTO_TEST_SUITE(with_limited_authority)

BOOST_AUTO_TEST_CASE(refuses_dispatch_to_cold_searchers_after_full_authority_ends) {
    fixture it({1, 1, 4, 1}, false);
    it.node.set_authority({time_point(seconds(1)), time_point(seconds(2))});
    it.now = time_point(seconds(1));
    it.send_batch(1, 1);
    BOOST_TEST(it.dispatches.empty());
    BOOST_TEST((it.replies.front().reply.outcome == subquery_outcome::not_run_refused));
    BOOST_TEST(!it.node.may_send(searcher_name(0), it.now));
}

BOOST_AUTO_TEST_CASE(dispatches_to_warm_searchers_until_warm_authority_ends) {
    fixture it;
    it.node.set_authority({time_point(seconds(1)), time_point(seconds(2))});
    it.now = time_point(seconds(1));
    it.send_batch(1, 1);
    BOOST_TEST(it.dispatches.size() == 1U);
    it.now = time_point(seconds(2));
    it.send_batch(2, 1);
    BOOST_TEST(it.dispatches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_searcher_out_of_service)

BOOST_AUTO_TEST_CASE(refuses_its_queue_lets_running_requests_finish_and_starts_cold_on_return) {
    fixture it;
    it.send_batch(1, 6);
    auto out_config = std::make_shared<configuration>(*it.config);
    out_config->zones["kochi"].state = service_state::out;
    it.node.set_configuration(out_config, it.now);
    it.handle(owner_event::time_passed{});
    BOOST_TEST(it.replies.size() == 2U);
    BOOST_TEST(it.cancels.empty());
    it.now += milliseconds(5);
    for (std::size_t n = 0; n < 4; ++n) {
        it.answer_dispatch(n);
    }
    BOOST_TEST(it.dispatches.size() == 4U);
    BOOST_TEST(it.replies.size() == 6U);
    it.node.set_configuration(it.config, it.now);
    it.send_batch(2, 4);
    BOOST_TEST(it.dispatches.size() == 5U);
    BOOST_TEST(it.node.view().front().last_reason == "returned");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_effect)

BOOST_AUTO_TEST_CASE(never_cancels_a_running_effect) {
    fixture it;
    it.send_batch(1, 1, "crew", "key");
    it.handle(owner_event::cancel_arrived{1, {1, {}}});
    it.handle(owner_event::stream_closed{1});
    BOOST_TEST(it.cancels.empty());
    BOOST_TEST(it.dispatches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refuses_a_batch_with_several_subqueries) {
    fixture it;
    it.send_batch(1, 2, "crew", "key");
    BOOST_TEST(it.dispatches.empty());
    BOOST_TEST(it.replies.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
