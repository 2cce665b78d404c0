// Guards against overload of a searcher that restarts without notice and has cold caches: after each signal
// of the restart, the owner must stay within the cold limit and raise it in steps. Runs seeded schedules of
// restarts and shed requests.
#include "../support/virtual_cluster.hpp"
#include "small_configuration.hpp"

#include <skylarkseam/core/cold_ramp.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// One owner and one searcher under full load. Counts the requests that the searcher actually has in flight.
class restart_schedule {
public:
    explicit restart_schedule(std::uint64_t seed)
        : cluster_(1, seed)
        , config_(make_configuration(shape)) {
        config_->groups["alerts"].cold = {cold_slots, 1, milliseconds(100)};
        cluster_.respond = [this](const auto& sent, auto now) { return respond(sent, now); };
        cluster_.health = [this](const auto&, auto) { return health(); };
        cluster_.on_dispatch = [this](const auto&, auto now) { check_dispatch(now); };
        cluster_.set_configuration(config_);
        cluster_.set_ownership(make_ownership(shape), seed % 2 == 0);
        cluster_.run_until(cluster_.now + milliseconds(10));
    }

    void run() {
        for (int n = 0; n < 600; ++n) {
            cluster_.after(milliseconds(n * 2), [this] { submit_query(); });
        }
        for (int n = 1; n < 6; ++n) {
            cluster_.after(milliseconds(n * 200) + cluster_.exponential(milliseconds(20)),
                           [this] { restart(); });
        }
        cluster_.run_until(cluster_.now + seconds(3));
    }

    /// Number of dispatches over the cold limit after the owner received a signal.
    int dispatches_over_limit = 0;
    std::uint32_t max_in_flight = 0;

private:
    static constexpr std::uint32_t cold_slots = 2;
    static constexpr std::uint32_t slots = 6;
    static constexpr layout shape{2, 1, slots, 1};

    /// Restarts the searcher. Later requests are answered with the new boot id.
    void restart() {
        ++boot_;
        signal_delivered_ = false;
    }

    void check_dispatch(time_point now) {
        ++in_flight_;
        max_in_flight = std::max(max_in_flight, in_flight_);
        // After a signal, the limit may rise by one slot per whole interval without another signal.
        const auto elapsed_intervals =
            signal_delivered_ ? (now - signal_delivered_at_) / milliseconds(100) : slots;
        const auto expected_limit = std::min<std::int64_t>(slots, cold_slots + elapsed_intervals);
        dispatches_over_limit +=
            signal_delivered_ && in_flight_ > static_cast<std::uint32_t>(expected_limit) ? 1 : 0;
    }

    std::vector<timed_answer> respond(const owner_action::dispatch& sent, time_point now) {
        auto value = good_answer(sent);
        const auto boot = boot_;
        value.boot_id = "boot-" + std::to_string(boot);
        if (cluster_.uniform() < 0.01) {
            value.outcome = subquery_outcome::not_run_shed;
        }
        // The searcher stops work at the request's deadline and then sends no answer.
        const auto service_time = milliseconds(3) + cluster_.exponential(milliseconds(4));
        const bool before_deadline = now + service_time < sent.deadline;
        const auto delay = before_deadline ? service_time : sent.deadline - now;
        cluster_.after(delay,
                       [this, boot, before_deadline, shed = value.outcome == subquery_outcome::not_run_shed] {
                           --in_flight_;
                           if (!before_deadline) {
                               return;
                           }
                           if (shed || (boot == boot_ && last_seen_boot_ != boot)) {
                               signal_delivered_ = true;
                               signal_delivered_at_ = cluster_.now;
                           }
                           last_seen_boot_ = boot;
                       });
        return before_deadline ? std::vector<timed_answer>{{delay, value}} : std::vector<timed_answer>{};
    }

    upstream_health health() { return {true, upstream_state::warm, "boot-0", {{0, {5}}, {1, {5}}}}; }

    void submit_query() {
        query_request request;
        request.caller = "crew";
        request.service = "search";
        request.query_json = "{}";
        cluster_.submit(0, request, nullptr);
    }

    virtual_cluster cluster_;
    std::shared_ptr<configuration> config_;
    std::uint32_t in_flight_ = 0;
    int boot_ = 0;
    int last_seen_boot_ = 0;
    /// Whether the owner has received an answer that shows the last restart or a shed request.
    bool signal_delivered_ = false;
    time_point signal_delivered_at_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searcher_that_restarts_without_notice)

BOOST_AUTO_TEST_CASE(never_exceeds_its_cold_limit_and_returns_to_all_slots) {
    std::uint32_t max_in_flight_of_all_seeds = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        restart_schedule it(seed);
        it.run();
        BOOST_TEST(it.dispatches_over_limit == 0,
                   "seed " << seed << ": " << it.dispatches_over_limit << " dispatches too many");
        max_in_flight_of_all_seeds = std::max(max_in_flight_of_all_seeds, it.max_in_flight);
    }
    BOOST_TEST(max_in_flight_of_all_seeds == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cold_ramp)

BOOST_AUTO_TEST_CASE(rises_in_steps_on_success_and_drops_on_the_next_cold_signal) {
    const cold_start settings{1, 2, milliseconds(100)};
    time_point now{seconds(1)};
    cold_ramp ramp(settings, 4, now);
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(now, now + milliseconds(99));
    BOOST_TEST(ramp.limit() == 1U);
    now += milliseconds(100);
    ramp.on_success(now, now);
    BOOST_TEST(ramp.limit() == 3U);
    ramp.on_signal(cold_signal::shed, now);
    BOOST_TEST(ramp.limit() == 1U);
    BOOST_TEST(ramp.last_reason() == "shed");
}

BOOST_AUTO_TEST_CASE(does_not_rise_on_a_health_report_or_on_requests_sent_before_the_signal) {
    const cold_start settings{1, 1, milliseconds(100)};
    const time_point start{seconds(1)};
    cold_ramp ramp(settings, 4, start);
    ramp.on_reported_state(state_source::health, false, start + seconds(5));
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(start - milliseconds(1), start + seconds(5));
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(start, start + seconds(5));
    BOOST_TEST(ramp.limit() == 2U);
}

BOOST_AUTO_TEST_CASE(rises_later_while_the_health_report_is_cold) {
    const cold_start settings{1, 1, milliseconds(100)};
    const time_point start{seconds(1)};
    cold_ramp ramp(settings, 4, start);
    ramp.on_reported_state(state_source::health, true, start);
    ramp.on_success(start, start + milliseconds(200));
    BOOST_TEST(ramp.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
