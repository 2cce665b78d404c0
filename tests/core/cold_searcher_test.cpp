// A searcher that turns cold without warning never gets more work than it bears, over seeded schedules of
// signs.
#include "../support/virtual_cluster.hpp"
#include "small_configuration.hpp"

#include <skylarkseam/core/cold_ramp.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

/// One owner and one searcher under full load; the checker counts what the searcher really has in flight.
class cold_schedule {
public:
    explicit cold_schedule(std::uint64_t seed)
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
            cluster_.after(milliseconds(n * 2), [this] { ask(); });
        }
        for (int n = 1; n < 6; ++n) {
            cluster_.after(milliseconds(n * 200) + cluster_.exponential(milliseconds(20)),
                           [this] { restart(); });
        }
        cluster_.run_until(cluster_.now + seconds(3));
    }

    int over_limit = 0; ///< dispatches beyond what the searcher bore when the owner could know it
    std::uint32_t most_in_flight = 0;

private:
    static constexpr std::uint32_t cold_slots = 2;
    static constexpr std::uint32_t slots = 6;
    static constexpr layout shape{2, 1, slots, 1};

    /// The searcher restarts: what it runs is reset, and the owner sees the new boot id from then on.
    void restart() {
        ++boot_;
        told_ = false;
    }

    void check_dispatch(time_point now) {
        ++in_flight_;
        most_in_flight = std::max(most_in_flight, in_flight_);
        // After a sign, one more slot for each whole interval that has passed without another.
        const auto steps = told_ ? (now - told_at_) / milliseconds(100) : slots;
        const auto bears = std::min<std::int64_t>(slots, cold_slots + steps);
        over_limit += told_ && in_flight_ > static_cast<std::uint32_t>(bears) ? 1 : 0;
    }

    std::vector<timed_answer> respond(const owner_action::dispatch& sent, time_point now) {
        auto value = good_answer(sent);
        const auto boot = boot_;
        value.boot_id = "boot-" + std::to_string(boot);
        if (cluster_.uniform() < 0.01) {
            value.outcome = subquery_outcome::not_run_shed;
        }
        // It stops work at the deadline that it was given, and then answers nothing.
        const auto service = milliseconds(3) + cluster_.exponential(milliseconds(4));
        const bool in_time = now + service < sent.deadline;
        const auto delay = in_time ? service : sent.deadline - now;
        cluster_.after(delay, [this, boot, in_time, shed = value.outcome == subquery_outcome::not_run_shed] {
            --in_flight_;
            if (!in_time) {
                return;
            }
            if (shed || (boot == boot_ && last_seen_boot_ != boot)) {
                told_ = true;
                told_at_ = cluster_.now;
            }
            last_seen_boot_ = boot;
        });
        return in_time ? std::vector<timed_answer>{{delay, value}} : std::vector<timed_answer>{};
    }

    upstream_health health() { return {true, upstream_state::warm, "boot-0", {{0, {5}}, {1, {5}}}}; }

    void ask() {
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
    bool told_ = false; ///< whether the owner has been shown the last restart or shed
    time_point told_at_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searcher_that_turns_cold_without_warning)

BOOST_AUTO_TEST_CASE(never_gets_more_work_than_it_bears_and_is_used_in_full_again) {
    std::uint32_t most = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cold_schedule it(seed);
        it.run();
        BOOST_TEST(it.over_limit == 0, "seed " << seed << ": " << it.over_limit << " dispatches too many");
        most = std::max(most, it.most_in_flight);
    }
    BOOST_TEST(most == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cold_ramp)

BOOST_AUTO_TEST_CASE(rises_by_steps_on_success_and_falls_back_on_the_next_sign) {
    const cold_start rule{1, 2, milliseconds(100)};
    time_point now{seconds(1)};
    cold_ramp ramp(rule, 4, now);
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(now, now + milliseconds(99));
    BOOST_TEST(ramp.limit() == 1U);
    now += milliseconds(100);
    ramp.on_success(now, now);
    BOOST_TEST(ramp.limit() == 3U);
    ramp.on_sign(cold_sign::shed, now);
    BOOST_TEST(ramp.limit() == 1U);
    BOOST_TEST(ramp.last_reason() == "shed");
}

BOOST_AUTO_TEST_CASE(takes_no_rise_from_health_alone_nor_from_work_sent_before_the_sign) {
    const cold_start rule{1, 1, milliseconds(100)};
    const time_point start{seconds(1)};
    cold_ramp ramp(rule, 4, start);
    ramp.on_stated_state(state_source::health, false, start + seconds(5));
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(start - milliseconds(1), start + seconds(5));
    BOOST_TEST(ramp.limit() == 1U);
    ramp.on_success(start, start + seconds(5));
    BOOST_TEST(ramp.limit() == 2U);
}

BOOST_AUTO_TEST_CASE(is_delayed_by_health_that_says_cold) {
    const cold_start rule{1, 1, milliseconds(100)};
    const time_point start{seconds(1)};
    cold_ramp ramp(rule, 4, start);
    ramp.on_stated_state(state_source::health, true, start);
    ramp.on_success(start, start + milliseconds(200));
    BOOST_TEST(ramp.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
