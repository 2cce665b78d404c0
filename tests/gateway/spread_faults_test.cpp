// Random faults of some gateways, and the time in which the others have an evacuation: hosts that stand
// still, lose the store or have slow links, several at a time, before and after the store's acknowledgement.
#include "spread_world.hpp"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::uint32_t seeds = 40;
constexpr duration bound = seconds(5);
constexpr duration stable_time = seconds(6); ///< Time after a fault in which its host is not judged

duration between_ms(pcg32& random, std::uint32_t least, std::uint32_t most) {
    return milliseconds(least + random(most - least));
}

/// One schedule of faults around the evacuation of a zone.
class schedule {
public:
    explicit schedule(std::uint32_t seed)
        : random_(seed)
        , zones_(3 + random_(4))
        , hosts_(2 + random_(14))
        , world_(zones_, hosts_, bound)
        , evacuated_after_(between_ms(random_, 6000, 20000)) {
        for (auto faults = 1 + random_(4); faults > 0; --faults) {
            add_fault();
        }
        steps_.emplace(evacuated_after_, [this] { world_.evacuate("a"); });
    }

    /// Longest time until a host that no fault has touched lately has the evacuation.
    duration play() {
        world_.run_for(seconds(9));
        const auto began = world_.now();
        for (const auto& [at, step] : steps_) {
            world_.run_for(std::max(duration::zero(), began + at - world_.now()));
            step();
        }
        world_.run_for(std::max(duration::zero(), began + evacuated_after_ + 3 * bound - world_.now()));
        duration longest{};
        world_.for_each([&](const spread_host& it) {
            if (!unstable_.contains(it.who.name)) {
                const auto when = it.evacuated_at.value_or(time_point::max());
                longest = std::max(longest, when - (began + evacuated_after_));
            }
        });
        return longest;
    }

private:
    enum class fault { stands_still, loses_store, slow_links };

    void add_fault() {
        const auto kind = static_cast<fault>(random_(3));
        const auto from = between_ms(random_, 0, 16000);
        const auto to = from + between_ms(random_, 500, random_(2) == 0 ? 6000 : 25000);
        const bool in_each_zone = random_(3) == 0;
        const auto chosen_zone = random_(static_cast<std::uint32_t>(zones_));
        const auto count = 1 + random_(random_(2) == 0 ? 3 : 9);
        const auto delay = between_ms(random_, 100, 1300);
        const auto access = random_(2) == 0 ? store_access::silent : store_access::refused;
        for (std::size_t zone = 0; zone < zones_; ++zone) {
            for (std::size_t n = 0; n < std::min<std::size_t>(count, hosts_); ++n) {
                // Mostly the first hosts of a zone, which the others follow.
                const auto at = random_(3) == 0 ? random_(static_cast<std::uint32_t>(hosts_)) : n;
                if (in_each_zone || zone == chosen_zone) {
                    add_fault(kind, world_.host(zone, at), from, to, delay, access);
                }
            }
        }
    }

    void add_fault(fault kind, spread_host& it, duration from, duration to, duration delay,
                   store_access access) {
        if (to + stable_time > evacuated_after_ && from < evacuated_after_ + bound) {
            unstable_.insert(it.who.name);
        }
        steps_.emplace(from, [&it, kind, delay, access] {
            it.frozen = it.frozen || kind == fault::stands_still;
            it.access = kind == fault::loses_store ? access : it.access;
            it.extra_delay = kind == fault::slow_links ? delay : it.extra_delay;
        });
        steps_.emplace(to, [&it, kind] {
            it.frozen = it.frozen && kind != fault::stands_still;
            it.access = kind == fault::loses_store ? store_access::served : it.access;
            it.extra_delay = kind == fault::slow_links ? duration::zero() : it.extra_delay;
        });
    }

    pcg32 random_;
    std::size_t zones_;
    std::size_t hosts_;
    spread_world world_;
    duration evacuated_after_;
    std::multimap<duration, std::function<void()>> steps_; ///< By the time from the beginning
    std::set<std::string> unstable_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_evacuation_during_random_faults)

BOOST_AUTO_TEST_CASE(is_in_force_in_time_on_every_host_without_a_fault) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const auto longest = schedule(seed).play();
        BOOST_TEST(to_ms(longest) <= to_ms(bound), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
