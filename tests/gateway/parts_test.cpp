// Unit tests of the gateway's building blocks: routing, merging, shares of a retry budget, traffic splits and
// the wait list.
#include <skylarkseam/gateway/extra_budget.hpp>
#include <skylarkseam/gateway/record_merge.hpp>
#include <skylarkseam/gateway/routing.hpp>
#include <skylarkseam/gateway/stop_plan.hpp>
#include <skylarkseam/gateway/traffic_split.hpp>
#include <skylarkseam/gateway/wait_list.hpp>

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include <algorithm>

using namespace skylarkseam;

namespace {

gateway_route route_at(const std::string& host, const std::string& prefix) {
    gateway_route route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.plan = single_service{"s"};
    return route;
}

std::string record(char first) {
    return first + std::string(15, 'x');
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_route)

BOOST_AUTO_TEST_CASE(is_the_one_with_the_longest_prefix_of_its_host) {
    routing_table table;
    table.routes = {route_at("a", "/"), route_at("a", "/x/"), route_at("a", "/x/y/"),
                    route_at("b", "/x/y/z/")};
    BOOST_TEST(find_route(table, "a", "/x/y/z/")->name == "a/x/y/");
    BOOST_TEST(find_route(table, "A:8080", "/x/q")->name == "a/x/");
    BOOST_TEST(find_route(table, "a", "/x")->name == "a/");
    BOOST_TEST((find_route(table, "c", "/x/") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(merged_records)

BOOST_AUTO_TEST_CASE(are_the_greatest_in_byte_order_including_duplicates) {
    const auto high = record('\xff');
    const auto one = record('b') + record('a') + "rest";
    const auto two = record('b') + high;
    const std::vector<std::string_view> parts{one, two, "short"};
    BOOST_TEST(greatest_records(parts, 3) == high + record('b') + record('b'));
    BOOST_TEST(greatest_records(parts, 9) == high + record('b') + record('b') + record('a'));
    BOOST_TEST(greatest_records({}, 3).empty());
}

BOOST_AUTO_TEST_CASE(are_unchanged_when_parts_were_truncated_before) {
    std::vector<std::string> whole{record('a') + record('d') + record('c'),
                                   record('b') + record('d') + "rest"};
    auto cut = whole;
    for (auto& it : cut) {
        keep_greatest_records(it, 2);
    }
    BOOST_TEST(cut[0].size() == 2 * record_bytes);
    const auto merged = [](const std::vector<std::string>& parts) {
        return greatest_records(std::vector<std::string_view>(parts.begin(), parts.end()), 2);
    };
    BOOST_TEST(merged(cut) == merged(whole));
    BOOST_TEST(merged(cut) == record('d') + record('d'));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_budget_shares)

// Requests arrive at eight hosts in waves, and every host sends as many extra attempts as its share allows.
struct budget_simulation {
    static constexpr std::uint32_t hosts = 8;
    static constexpr std::int64_t length_ms = 60'000;
    static constexpr std::int64_t window_ms = 10'000;

    extra_budget_limits limits{0.2, 56.0, seconds(10)};
    std::vector<extra_budget> shares = std::vector<extra_budget>(hosts);
    std::vector<std::int64_t> requests; ///< Arrival times in milliseconds.
    std::vector<std::int64_t> extra;

    static time_point at(std::int64_t ms) { return time_point(milliseconds(1'000'000 + ms)); }

    /// \param restarts  times in milliseconds at which all processes restart
    void run(const std::vector<std::int64_t>& restarts) {
        pcg32 random(3);
        for (std::int64_t ms = 0; ms < length_ms; ms += 5) {
            if (std::find(restarts.begin(), restarts.end(), ms) != restarts.end()) {
                shares = std::vector<extra_budget>(hosts);
                limits.slack_available_from = at(ms) + limits.window;
            }
            auto& it = shares[random(hosts)];
            if ((ms / 7000) % 2 == 0) {
                it.on_request(at(ms));
                requests.push_back(ms);
            }
            while (it.try_spend(limits, hosts, at(ms))) {
                extra.push_back(ms);
            }
        }
    }

    static std::int64_t in_window(const std::vector<std::int64_t>& times, std::int64_t from) {
        return std::count_if(times.begin(), times.end(),
                             [from](std::int64_t it) { return it >= from && it < from + window_ms; });
    }

    void check() const {
        for (std::int64_t from = 0; from <= length_ms - window_ms; from += 250) {
            const auto before = in_window(requests, std::max<std::int64_t>(0, from - window_ms / 2));
            const auto allowed_by_requests =
                std::max({in_window(requests, from), before, in_window(requests, from - window_ms)});
            BOOST_TEST(static_cast<double>(in_window(extra, from)) <=
                       0.2 * static_cast<double>(allowed_by_requests) + 56.0);
        }
        BOOST_TEST(extra.size() > 100U);
    }
};

BOOST_FIXTURE_TEST_CASE(stay_within_the_budget_in_every_window, budget_simulation) {
    run({});
    check();
}

BOOST_FIXTURE_TEST_CASE(stay_within_the_budget_when_all_processes_restart, budget_simulation) {
    run({12'000, 17'000, 38'000});
    check();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_traffic_split)

BOOST_AUTO_TEST_CASE(matches_the_weights_over_short_sequences) {
    const weighted_split plan{{{"a", 70.0}, {"b", 25.0}, {"c", 5.0}}};
    traffic_split split;
    std::vector<int> counts(3);
    for (int n = 0; n < 300; ++n) {
        ++counts[split.next(plan, 0.3)];
    }
    BOOST_TEST(std::abs(counts[0] / 300.0 - 0.70) < 0.02);
    BOOST_TEST(std::abs(counts[1] / 300.0 - 0.25) < 0.02);
    BOOST_TEST(std::abs(counts[2] / 300.0 - 0.05) < 0.02);
}

BOOST_AUTO_TEST_CASE(starts_at_a_different_part_on_each_host) {
    const weighted_split plan{{{"a", 1.0}, {"b", 1.0}}};
    std::vector<int> first(2);
    for (int host = 0; host < 40; ++host) {
        traffic_split split;
        ++first[split.next(plan, host / 40.0)];
    }
    BOOST_TEST(first[0] >= 15);
    BOOST_TEST(first[1] >= 15);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entries_of_a_wait_list)

BOOST_AUTO_TEST_CASE(are_taken_by_priority_without_starvation) {
    wait_list list;
    for (request_token n = 1; n <= 400; ++n) {
        const auto urgent = n % 2 == 0;
        list.add({n, 0, urgent ? 0U : 2U, time_point(milliseconds(n)), time_point(milliseconds(500 + n))});
    }
    int urgent = 0;
    for (int n = 0; n < 100; ++n) {
        urgent += list.take().priority == 0 ? 1 : 0;
    }
    BOOST_TEST(urgent >= 75);
    BOOST_TEST(urgent < 100);
    list.remove(3);
    BOOST_TEST(list.size() <= 300U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_gateway_that_stops)

BOOST_AUTO_TEST_CASE(refuses_new_requests_after_the_balancer_is_notified_and_ends_when_idle) {
    constexpr duration grace = seconds(6);
    BOOST_TEST((next_stop_step(milliseconds(0), grace, 0) == stop_step::serve));
    BOOST_TEST((next_stop_step(milliseconds(2500), grace, 3) == stop_step::serve));
    BOOST_TEST((next_stop_step(milliseconds(2600), grace, 3) == stop_step::refuse_new));
    // Clients that keep connecting do not delay the end until the grace period is over, when a request would
    // be cut off.
    BOOST_TEST((next_stop_step(milliseconds(2700), grace, 0) == stop_step::end));
    BOOST_TEST((next_stop_step(milliseconds(5590), grace, 1) == stop_step::refuse_new));
    BOOST_TEST((next_stop_step(milliseconds(5600), grace, 1) == stop_step::cut));
}

BOOST_AUTO_TEST_CASE(leaves_half_of_a_short_grace_period_for_open_requests) {
    constexpr duration grace = seconds(2);
    BOOST_TEST((next_stop_step(milliseconds(790), grace, 1) == stop_step::serve));
    BOOST_TEST((next_stop_step(milliseconds(800), grace, 1) == stop_step::refuse_new));
    BOOST_TEST((next_stop_step(milliseconds(1590), grace, 1) == stop_step::refuse_new));
    BOOST_TEST((next_stop_step(milliseconds(1600), grace, 1) == stop_step::cut));
}

BOOST_AUTO_TEST_SUITE_END()
