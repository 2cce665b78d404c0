// Reports of searchers while any one host is silent: with a second source in each zone the others know of a
// searcher that has become cold at once. Without it, they sent it their usual requests until they left the
// silent gateway, for 2 seconds.
#include "spread_world.hpp"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration bound = seconds(4); ///< Of changes of the configuration
constexpr duration settle_time = seconds(9);
/// The limit of requests at a cold searcher counts single seconds; what is sent before a report is known is
/// a part of them.
constexpr duration report_bound = milliseconds(250);
constexpr std::size_t zones = 3;
constexpr std::size_t hosts = 4;
constexpr std::uint32_t phases = 6;
constexpr duration phase_step = milliseconds(290);

enum class silence {
    frozen_briefly,
    frozen_awhile,
    frozen_long,
    killed,
    deaf,
    mute,
    without_store,
    refused_by_store
};
constexpr std::array silences{
    silence::frozen_briefly, silence::frozen_awhile, silence::frozen_long,   silence::killed,
    silence::deaf,           silence::mute,          silence::without_store, silence::refused_by_store,
};

void set(spread_world& world, spread_host& it, silence kind, bool on) {
    switch (kind) {
    case silence::frozen_briefly:
    case silence::frozen_awhile:
    case silence::frozen_long:
        it.frozen = on;
        return;
    case silence::killed:
        world.kill(it);
        return;
    case silence::deaf:
        it.deaf = on;
        return;
    case silence::mute:
        it.mute = on;
        return;
    case silence::without_store:
        it.access = on ? store_access::silent : store_access::served;
        return;
    case silence::refused_by_store:
        it.access = on ? store_access::refused : store_access::served;
        return;
    }
}

duration length_of(silence kind) {
    switch (kind) {
    case silence::frozen_briefly:
        return milliseconds(700);
    case silence::frozen_awhile:
        return milliseconds(1500);
    default:
        return milliseconds(4500);
    }
}

struct reports {
    spread_world world;
    std::uint64_t reported = 0;

    explicit reports(bool second_source = true, std::size_t zone_count = zones,
                     std::size_t hosts_per_zone = hosts)
        : world(zone_count, hosts_per_zone, bound) {
        if (second_source) {
            world.limit_cold_rates();
        }
        world.report("i-0");
        world.run_for(settle_time);
    }

    /// A searcher reports a change.
    std::string report() {
        auto searcher = "i-" + std::to_string(++reported);
        world.report(searcher);
        return searcher;
    }

    /// Longest time until that report is known to the hosts other than `except`.
    duration time_known(const std::string& searcher, const spread_host* except) {
        world.run_for(4 * report_bound);
        duration longest{};
        world.for_each([&](const spread_host& it) {
            if (&it != except) {
                longest = std::max(longest, world.time_reported(it, searcher).value_or(duration::max()));
            }
        });
        return longest;
    }

    duration longest_time(const spread_host* except) { return time_known(report(), except); }

    /// The same over the whole time of a silence and a while after it. The first report comes with its begin.
    /// \param reports_first  whether the report is a moment earlier, so that it is on its way then
    duration longest_time_during(spread_host& it, silence kind, bool reports_first = false) {
        const auto end = world.now() + length_of(kind);
        std::string first;
        if (reports_first) {
            first = report();
            set(world, it, kind, true);
        } else {
            set(world, it, kind, true);
            first = report();
        }
        duration longest = time_known(first, &it);
        while (world.now() < end) {
            longest = std::max(longest, longest_time(&it));
        }
        set(world, it, kind, false);
        for (int n = 0; n < 3; ++n) {
            longest = std::max(longest, longest_time(&it));
        }
        return longest;
    }
};

void check_each_silence(std::size_t zone_count, std::size_t hosts_per_zone) {
    for (const auto kind : silences) {
        for (std::size_t n = 0; n < hosts_per_zone; ++n) {
            for (std::uint32_t phase = 0; phase < phases; ++phase) {
                for (const bool reports_first : {false, true}) {
                    reports it(true, zone_count, hosts_per_zone);
                    it.world.run_for(phase * phase_step);
                    const auto longest = it.longest_time_during(it.world.host(0, n), kind, reports_first);
                    BOOST_TEST(to_ms(longest) <= to_ms(report_bound),
                               zone_count << " zones, host " << n << ", silence " << static_cast<int>(kind)
                                          << ", phase " << phase << (reports_first ? ", report first" : "")
                                          << ": " << to_ms(longest) << " ms");
                }
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_report_of_a_searcher)

BOOST_AUTO_TEST_CASE(is_known_everywhere_at_once_while_nothing_fails) {
    for (const bool second_source : {false, true}) {
        BOOST_TEST(to_ms(reports(second_source).longest_time(nullptr)) <= to_ms(report_bound));
    }
}

BOOST_AUTO_TEST_CASE(is_known_late_without_a_second_source) {
    reports it(false);
    BOOST_TEST(to_ms(it.longest_time_during(it.world.host(0, 0), silence::frozen_long)) > 500);
}

// Guards against followers that learn nothing of cold searchers until they leave a silent source.
BOOST_AUTO_TEST_CASE(is_known_at_once_to_all_others_whichever_host_is_silent) {
    check_each_silence(zones, hosts);
}

BOOST_AUTO_TEST_CASE(is_known_at_once_in_a_deployment_of_one_zone) {
    check_each_silence(1, 2);
    check_each_silence(1, 3);
}

// The gateway after it takes its place, before the group has forgotten it.
BOOST_AUTO_TEST_CASE(is_known_at_once_after_the_second_source_has_ended) {
    for (std::uint32_t phase = 0; phase < phases; ++phase) {
        reports it;
        auto& first = it.world.host(0, 0);
        auto& second = it.world.host(0, 1);
        it.world.run_for(phase * phase_step);
        it.world.kill(second);
        it.world.run_for(milliseconds(6200)); // Its followers' polls have failed.
        first.frozen = true;
        const auto searcher = it.report();
        it.world.run_for(4 * report_bound);
        for (const std::size_t n : {2U, 3U}) {
            const auto time = it.world.time_reported(it.world.host(0, n), searcher);
            BOOST_TEST(to_ms(time.value_or(duration::max())) <= to_ms(report_bound), "phase " << phase);
        }
    }
}

// One host after the other is silent, each after the one before has returned.
BOOST_AUTO_TEST_CASE(is_known_at_once_while_hosts_are_silent_in_turn) {
    constexpr std::uint32_t seeds = 20;
    constexpr std::uint32_t silences_each = 6;
    constexpr duration return_time = seconds(9); ///< Until the group has found a host again
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        pcg32 random(seed);
        reports it;
        for (std::uint32_t n = 0; n < silences_each; ++n) {
            auto kind = silences.at(random(static_cast<std::uint32_t>(silences.size())));
            kind = kind == silence::killed ? silence::frozen_long : kind;
            auto& host = it.world.host(random(zones), random(hosts));
            it.world.run_for(milliseconds(random(2000)));
            const auto longest = it.longest_time_during(host, kind);
            BOOST_TEST(to_ms(longest) <= to_ms(report_bound),
                       "seed " << seed << ", " << host.who.name << ", silence " << static_cast<int>(kind)
                               << ": " << to_ms(longest) << " ms");
            it.world.run_for(return_time);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_second_source)

// Prints what it costs, for docs/design/cold-start.md.
BOOST_AUTO_TEST_CASE(costs_little_at_ninety_and_at_three_hundred_hosts) {
    struct cost {
        double calls = 0.0;
        double bytes = 0.0;
        double second_bytes = 0.0;
        double most_second_bytes = 0.0; ///< Of one host
    };
    constexpr int time_s = 20;
    const auto measure = [](std::size_t in_zone, bool second_source) {
        spread_world world(zones, in_zone, bound);
        if (second_source) {
            world.limit_cold_rates();
        }
        world.report("i-0");
        world.run_for(settle_time);
        const auto calls_before = world.store_calls();
        world.for_each([](spread_host& it) { it.bytes_sent = it.second_bytes_sent = 0; });
        for (int n = 0; n < time_s; ++n) {
            world.report("i-" + std::to_string(n % 4)); // One report a second, of a searcher that warms up
            world.run_for(seconds(1));
        }
        cost out;
        out.calls = static_cast<double>(world.store_calls() - calls_before) / time_s;
        world.for_each([&](const spread_host& it) {
            out.bytes += static_cast<double>(it.bytes_sent) / time_s;
            const auto second = static_cast<double>(it.second_bytes_sent) / time_s;
            out.second_bytes += second;
            out.most_second_bytes = std::max(out.most_second_bytes, second);
        });
        return out;
    };
    for (const std::size_t in_zone : {30U, 100U}) {
        const auto without = measure(in_zone, false);
        const auto with = measure(in_zone, true);
        BOOST_TEST_MESSAGE(zones * in_zone
                           << " hosts: " << without.calls << " store calls a second without, " << with.calls
                           << " with; " << without.bytes << " bytes a second between all hosts without, "
                           << with.bytes + with.second_bytes << " with; the second source sends "
                           << with.most_second_bytes);
        BOOST_TEST(without.second_bytes == 0.0);
        // One more watch of one kind in each zone, which is answered at most once each 150 ms.
        BOOST_TEST(with.calls - without.calls <= 2.0 * zones);
        BOOST_TEST(with.most_second_bytes <= 9'000.0 * static_cast<double>(in_zone) / 30.0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
