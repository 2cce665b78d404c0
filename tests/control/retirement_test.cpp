// Retention: stored objects are removed after their retention time and never before, within the call budget
// and without a clock in the platform.
#include "virtual_world.hpp"

#include <skylarkseam/control/claim_record.hpp>
#include <skylarkseam/control/retirement.hpp>
#include <skylarkseam/control/singleton_task.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr auto hour = std::chrono::hours(1);

std::vector<member> members_named(int n) {
    std::vector<member> members;
    members.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it) {
        members.push_back({"host" + std::to_string(it), 1, "", "", ""});
    }
    return members;
}

std::vector<std::string> claim_kinds() {
    std::vector<std::string> kinds;
    for (unsigned it = 0; it < claim_bucket_count; ++it) {
        kinds.push_back(claim_kind(it));
    }
    return kinds;
}

/// Hosts that retire claims. Each host can be replaced by a new one without any state.
struct retirement_world {
    explicit retirement_world(int n) {
        for (int it = 0; it < n; ++it) {
            instances.push_back(nullptr);
            replace(static_cast<std::size_t>(it));
        }
    }
    void replace(std::size_t host) {
        instances[host] = std::make_unique<retirement>("host" + std::to_string(host), claim_kinds());
        instances[host]->set_members(members_named(static_cast<int>(instances.size())));
        wake(host, instances[host].get());
    }
    void wake(std::size_t host, retirement* instance) {
        if (instances[host].get() != instance) {
            return;
        }
        std::vector<platform_call> out;
        instance->pass_time(clock.now(), out);
        send(host, instance, out);
    }
    void send(std::size_t host, retirement* instance, const std::vector<platform_call>& out) {
        for (const auto& it : out) {
            platform.send(it.request, [this, host, instance, id = it.id](platform_response response) {
                if (instances[host].get() == instance) {
                    std::vector<platform_call> more;
                    instance->handle({id, std::move(response)}, clock.now(), more);
                    send(host, instance, more);
                }
            });
        }
        if (const auto when = instance->next_wakeup()) {
            clock.at(std::max(*when, clock.now() + milliseconds(1)),
                     [this, host, instance] { wake(host, instance); });
        }
    }
    void store(const std::string& key, claim_state state) {
        claim_record claim;
        claim.state = state;
        const auto address = claim_address_of("c", "s", key);
        platform.apply({platform_method::create, address.kind, address.name, "", encode_claim(claim), 0});
    }
    std::optional<claim_state> state_of(const std::string& key) {
        const auto address = claim_address_of("c", "s", key);
        const auto found = platform.objects.find({address.kind, address.name});
        return found == platform.objects.end() ? std::nullopt
                                               : std::optional(decode_claim(found->second.value_json)->state);
    }
    void run_for(duration length) { clock.run_until(clock.now() + length); }

    virtual_clock clock;
    random_source random{1};
    fake_platform platform{clock, random};
    std::vector<std::unique_ptr<retirement>> instances;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retiring)

BOOST_AUTO_TEST_CASE(the_clock_keeps_few_marks_and_never_overstates_an_age) {
    version_clock clock;
    std::map<std::uint64_t, duration> created_at;
    duration now{};
    for (std::uint64_t version = 1; version <= 3000; ++version) {
        created_at[version] = now;
        now += std::chrono::minutes(1);
        clock.advance(version, std::chrono::minutes(1));
    }
    BOOST_TEST(clock.marks().size() < 200U);
    for (const auto& it : clock.marks()) {
        BOOST_TEST((now - created_at[it.version] >= it.age));
    }
    const auto day_old = clock.newest_version_aged(24 * hour);
    BOOST_TEST((now - created_at[day_old] >= 24 * hour));
    BOOST_TEST((now - created_at[day_old] <= 26 * hour));
    BOOST_TEST((version_clock::decode(clock.encode())->marks() == clock.marks()));
}

BOOST_AUTO_TEST_CASE(an_outcome_is_removed_between_its_retention_time_and_a_tenth_more) {
    retirement_world world(3);
    world.run_for(hour);
    world.store("a", claim_state::done);
    world.run_for(24 * hour - std::chrono::minutes(1));
    BOOST_TEST(world.state_of("a").has_value());
    world.run_for(3 * hour);
    BOOST_TEST(!world.state_of("a").has_value());
}

BOOST_AUTO_TEST_CASE(an_outcome_is_removed_although_a_host_is_replaced_every_two_hours) {
    retirement_world world(3);
    world.store("a", claim_state::done);
    for (int it = 0; it < 13; ++it) {
        world.run_for(2 * hour);
        world.replace(static_cast<std::size_t>(it % 3));
    }
    world.run_for(3 * hour);
    BOOST_TEST(!world.state_of("a").has_value());
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_retired) {
    retirement_world world(3);
    world.store("a", claim_state::unknown);
    world.run_for(100 * hour);
    BOOST_TEST((world.state_of("a") == claim_state::unknown));
}

BOOST_AUTO_TEST_CASE(a_claim_of_a_failed_holder_becomes_unknown) {
    retirement_world world(3);
    world.run_for(hour);
    world.store("a", claim_state::claimed);
    world.run_for(std::chrono::minutes(4));
    BOOST_TEST((world.state_of("a") == claim_state::claimed));
    world.run_for(std::chrono::minutes(30));
    BOOST_TEST((world.state_of("a") == claim_state::unknown));
}

BOOST_AUTO_TEST_CASE(lost_answers_and_an_outage_only_delay_retirement) {
    retirement_world world(3);
    world.platform.faults.lose_answers = 0.3;
    world.store("a", claim_state::done);
    world.run_for(10 * hour);
    world.platform.faults.down = true;
    world.run_for(5 * hour);
    world.platform.faults.down = false;
    world.run_for(20 * hour);
    BOOST_TEST(!world.state_of("a").has_value());
}

BOOST_AUTO_TEST_CASE(the_call_rate_does_not_grow_with_the_number_of_hosts) {
    constexpr double max_calls_per_second =
        1.0; // for all idle hosts; the budget is 100 writes and 400 reads per second
    for (const int hosts : {3, 12, 100}) {
        retirement_world world(hosts);
        world.run_for(5 * hour);
        std::uint64_t calls = 0;
        for (const auto& [method, n] : world.platform.calls) {
            calls += n;
        }
        BOOST_TEST_MESSAGE(hosts << " hosts: " << calls << " calls in 5 h");
        BOOST_TEST(static_cast<double>(calls) / (5 * 3600) < max_calls_per_second);
    }
}

BOOST_AUTO_TEST_CASE(a_change_of_members_moves_only_the_tasks_of_members_that_joined_or_left) {
    const auto many = members_named(12);
    const auto fewer = std::vector<member>(many.begin(), many.end() - 1);
    std::set<std::string> holders;
    for (const auto& it : claim_kinds()) {
        const auto before = singleton_task_owner(many, it);
        holders.insert(before);
        if (before != many.back().node) {
            BOOST_TEST(singleton_task_owner(fewer, it) == before);
        }
    }
    BOOST_TEST(holders.size() >= 10U);
}

BOOST_AUTO_TEST_SUITE_END()
