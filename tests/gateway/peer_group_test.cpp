// Tests of how gateways discover each other, and of which of them watch the store.
#include <skylarkseam/gateway/peer_group.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace skylarkseam;

namespace {

std::uint32_t hosts_of(const peer_group& group) {
    std::uint32_t n = 0;
    for (const auto& [zone, hosts] : group.hosts_by_zone()) {
        n += hosts;
    }
    return n;
}

struct group_fixture {
    time_point now{seconds(50)};
    std::map<std::string, std::unique_ptr<peer_group>> nodes; ///< by address
    std::set<std::string> down;
    std::set<std::string> first_answers; ///< Pairs of a follower and its source

    void add(const std::string& name, const std::string& zone, const std::vector<std::string>& seeds) {
        nodes[name] =
            std::make_unique<peer_group>(gateway_identity{name, zone, name}, seeds, peer_timing{}, true, now);
    }

    /// Answers every call immediately.
    void run_for(duration time) {
        for (const auto end = now + time; now < end; now += milliseconds(50)) {
            for (auto& [name, node] : nodes) {
                if (!down.contains(name)) {
                    turn(name, *node);
                }
            }
        }
    }

    void turn(const std::string& name, peer_group& node) {
        std::vector<peer_call> calls;
        node.take_calls(now, calls);
        for (const auto& it : calls) {
            const bool reached = nodes.contains(it.address) && !down.contains(it.address);
            std::optional<group_view> view;
            if (reached) {
                auto& other = *nodes.at(it.address);
                const auto own = node.view_for({}, now);
                other.take_call(own, now);
                const bool follows = it.what == peer_call::kind::follow;
                view = follows ? other.view_for_follower(own.sender,
                                                         !first_answers.insert(name + it.address).second, now)
                               : other.view_for(own.sender.zone, now);
            }
            node.take_answer(it, view, milliseconds(100), now);
        }
        (void)name;
    }

    std::vector<std::string> watching() {
        std::vector<std::string> out;
        for (auto& [name, node] : nodes) {
            if (!down.contains(name) && node->should_watch_store(now - milliseconds(100), now)) {
                out.push_back(name);
            }
        }
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_group_members, group_fixture)

BOOST_AUTO_TEST_CASE(elect_one_watching_gateway_in_each_zone) {
    for (const auto* const zone : {"a", "b", "c"}) {
        for (int n = 0; n < 5; ++n) {
            add(std::string(zone) + std::to_string(n), zone, {"a0", "b1", "gone"});
        }
    }
    run_for(seconds(4));
    const std::vector<std::string> expected{"a0", "b0", "c0"};
    BOOST_TEST(watching() == expected, boost::test_tools::per_element());
    for (auto& [name, node] : nodes) {
        BOOST_TEST(hosts_of(*node) == 15U, name);
    }

    // When a watching gateway stops, another one of its zone takes over, and the host count decreases.
    down.insert("b0");
    run_for(seconds(1));
    const std::vector<std::string> next{"a0", "b1", "c0"};
    BOOST_TEST(watching() == next, boost::test_tools::per_element());
    run_for(seconds(12));
    BOOST_TEST(hosts_of(*nodes.at("a0")) == 14U);
}

BOOST_AUTO_TEST_CASE(get_the_list_of_members_only_now_and_then) {
    for (int n = 0; n < 50; ++n) {
        add("a" + std::to_string(n), "a", {"a0"});
    }
    run_for(seconds(4));
    const gateway_identity follower{"a9", "a", "a9"};
    auto& source = *nodes.at("a0");
    now += seconds(2);
    BOOST_TEST(source.view_for_follower(follower, true, now).members.size() == 49U);
    std::size_t listed = 0;
    for (int change = 0; change < 40; ++change) { // Ten changes of the store each second
        now += milliseconds(100);
        listed += source.view_for_follower(follower, true, now).members.empty() ? 0 : 1;
    }
    BOOST_TEST(listed == 2U);
    // A gateway that has just started is told at once, and one that is not a member yet.
    BOOST_TEST(!source.view_for_follower(follower, false, now).members.empty());
    BOOST_TEST(!source.view_for_follower({"new", "a", "new"}, true, now).members.empty());
}

BOOST_AUTO_TEST_CASE(watch_the_store_when_no_peer_answers) {
    add("a0", "a", {"gone", "lost"});
    run_for(milliseconds(600));
    BOOST_TEST(watching().empty());
    run_for(milliseconds(300));
    BOOST_TEST(watching().size() == 1U);
}

BOOST_AUTO_TEST_CASE(watch_the_store_when_their_data_is_stale) {
    add("a0", "a", {"a0"});
    add("a1", "a", {"a0"});
    run_for(seconds(3));
    BOOST_TEST(!nodes.at("a1")->should_watch_store(now, now));
    BOOST_TEST(nodes.at("a1")->should_watch_store(now - seconds(5), now));
}

BOOST_AUTO_TEST_SUITE_END()
