// Tests that what one gateway learns about a request that crashes searchers reaches all others, along the
// connections over which they follow each other.
#include "spread_world.hpp"

#include <skylarkseam/gateway/crash_suspects.hpp>
#include <skylarkseam/gateway/suspect_exchange.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr duration step = milliseconds(20);
constexpr duration settle_time = seconds(9); ///< Longer than the discovery of the group takes
constexpr duration time_to_tell = seconds(5);

/// Gateways of several zones that exchange reports, each call taking one step.
class exchange_world {
public:
    exchange_world(std::size_t zones, std::size_t hosts_per_zone)
        : group_(zones, hosts_per_zone, seconds(4)) {
        group_.for_each([this](spread_host& it) { hosts_[it.who.address].place = &it; });
        run_for(settle_time);
    }

    /// Three searchers end under a request of one host.
    void learn(std::size_t zone, std::size_t n) {
        learned_at_ = group_.now();
        at(zone, n).suspects.merge(
            {{"q", {{"s1", milliseconds(300)}, {"s2", milliseconds(200)}, {"s3", {}}}, std::nullopt}},
            group_.now());
    }

    void restart(std::size_t zone, std::size_t n) {
        auto& it = at(zone, n);
        it.suspects = crash_suspects{};
        it.exchange = suspect_exchange{};
        it.followed.clear();
        for (auto& [address, other] : hosts_) {
            other.exchange.note_restart(it.place->who.address, group_.now());
        }
    }

    void freeze(std::size_t zone, std::size_t n) { group_.host(zone, n).frozen = true; }

    void run_for(duration time) {
        for (const auto end = group_.now() + time; group_.now() < end;) {
            group_.run_for(step);
            auto due = std::exchange(calls_, {});
            for (auto& it : due) {
                it();
            }
            for (auto& [address, it] : hosts_) {
                if (!it.place->frozen) {
                    turn(it);
                }
            }
        }
    }

    /// Time until every host that runs refuses the request; nothing if that takes longer than `bound`.
    std::optional<duration> time_until_all_refuse(duration bound) {
        while (group_.now() - learned_at_ <= bound) {
            if (std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& it) {
                    return it.second.place->frozen ||
                           it.second.suspects.of("q", group_.now()) == suspicion::refused;
                })) {
                return group_.now() - learned_at_;
            }
            run_for(step);
        }
        return std::nullopt;
    }

    [[nodiscard]] bool refuses(std::size_t zone, std::size_t n) {
        return at(zone, n).suspects.of("q", group_.now()) == suspicion::refused;
    }

    std::uint64_t calls = 0;

private:
    struct exchange_host {
        spread_host* place = nullptr;
        crash_suspects suspects;
        suspect_exchange exchange;
        std::string followed;
    };

    exchange_host& at(std::size_t zone, std::size_t n) { return hosts_.at(group_.host(zone, n).who.address); }

    void turn(exchange_host& it) {
        if (const auto followed = it.place->group->followed(); !followed.empty()) {
            it.followed = followed;
        }
        std::vector<std::string> followers;
        for (const auto& [address, other] : hosts_) {
            if (other.followed == it.place->who.address) {
                followers.push_back(address);
            }
        }
        it.exchange.set_neighbours(it.followed, followers, group_.now());
        std::vector<suspect_call> due;
        it.exchange.take_calls(it.suspects.sequence(), group_.now(), due);
        for (const auto& call : due) {
            ++calls;
            send(it, call);
        }
    }

    void send(exchange_host& from, const suspect_call& call) {
        auto& to = hosts_.at(call.address);
        const auto reports = from.suspects.reports_since(call.after, group_.now());
        calls_.emplace_back([this, &from, &to, call, reports] {
            if (to.place->frozen) {
                from.exchange.take_answer(call, false, group_.now());
                return;
            }
            const auto known = to.suspects.reports_since(0, group_.now());
            to.suspects.merge(reports, group_.now());
            from.exchange.take_answer(call, true, group_.now());
            if (call.ask) {
                from.suspects.merge(known, group_.now());
            }
        });
    }

    spread_world group_;
    std::map<std::string, exchange_host> hosts_; ///< Keyed by address
    std::vector<std::function<void()>> calls_;
    time_point learned_at_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_report_of_a_request_that_crashes_searchers)

BOOST_AUTO_TEST_CASE(reaches_all_hosts_of_small_and_large_groups) {
    for (const auto& [zones, hosts] : {std::pair{3U, 3U}, std::pair{6U, 15U}}) {
        for (std::size_t n = 0; n < 2; ++n) {
            exchange_world world(zones, hosts);
            world.learn(zones - 1, n);
            BOOST_TEST(world.time_until_all_refuse(seconds(1)).has_value(),
                       zones << " zones of " << hosts << ", host " << n);
        }
    }
}

BOOST_AUTO_TEST_CASE(costs_no_calls_while_there_is_nothing_to_tell) {
    exchange_world world(3, 3);
    world.run_for(seconds(2));
    world.calls = 0;
    world.run_for(seconds(20));
    BOOST_TEST(world.calls == 0U);
    world.learn(0, 1);
    world.run_for(seconds(20));
    const std::uint64_t neighbours = 24; // 12 pairs tell each other once.
    BOOST_TEST(world.calls <= neighbours);
}

BOOST_AUTO_TEST_CASE(reaches_the_others_in_time_if_a_host_that_passes_it_on_stands_still) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
        exchange_world world(3, 3);
        world.freeze(zone, 0);
        world.learn((zone + 1) % 3, 1);
        BOOST_TEST(world.time_until_all_refuse(time_to_tell).has_value(), "zone " << zone);
    }
}

BOOST_AUTO_TEST_CASE(reaches_a_host_that_starts_again) {
    for (std::size_t n = 0; n < 3; ++n) {
        exchange_world world(3, 3);
        world.learn(2, 1);
        world.run_for(seconds(3));
        world.restart(1, n);
        BOOST_TEST(!world.refuses(1, n));
        world.run_for(seconds(1));
        BOOST_TEST(world.refuses(1, n), "host " << n);
    }
}

BOOST_AUTO_TEST_SUITE_END()
