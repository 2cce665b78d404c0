// Checks whether a process listens at an address: one that does, none, and none within the time.
#include <skylarkseam/shell/connection_checks.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>

using namespace skylarkseam;

namespace {

struct checks_fixture : loop_fixture {
    std::map<std::uint64_t, check_result> results;
    connection_checks checks{loop, [this](std::uint64_t id, check_result result) { results[id] = result; }};
    const int listener = open_listener("127.0.0.1:0");

    check_result check(const std::string& address, duration timeout = seconds(5)) {
        const auto id = results.size() + 1;
        checks.start(id, address, timeout);
        BOOST_TEST(results.count(id) == 0U);
        BOOST_REQUIRE(run_until([&] { return results.count(id) > 0; }));
        return results.at(id);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_check_of_an_address, checks_fixture)

BOOST_AUTO_TEST_CASE(finds_a_process_and_sends_it_nothing) {
    BOOST_TEST((check(bound_address(listener)) == check_result::accepted));
    const int fd = ::accept(listener, nullptr, nullptr);
    char buf = 0;
    BOOST_TEST(::recv(fd, &buf, 1, 0) == 0);
    ::close(fd);
    ::close(listener);
}

BOOST_AUTO_TEST_CASE(finds_that_there_is_none) {
    const auto address = bound_address(listener);
    ::close(listener);
    BOOST_TEST((check(address) == check_result::refused));
}

BOOST_AUTO_TEST_CASE(does_not_know_without_an_answer_in_time) {
    BOOST_TEST((check("not an address") == check_result::no_answer));

    // The queue of new connections is full, so that one more is not answered.
    ::listen(listener, 0);
    const auto address = bound_address(listener);
    std::array<int, 4> waiting{};
    for (auto& fd : waiting) {
        fd = start_connection(address);
    }
    run_turns(5);
    loop.pause_clock();
    checks.start(100, address, milliseconds(80));
    run_turns(5);
    BOOST_TEST(results.count(100) == 0U);
    loop.advance(milliseconds(81));
    BOOST_REQUIRE(run_until([&] { return results.count(100) > 0; }));
    BOOST_TEST((results.at(100) == check_result::no_answer));
    for (const auto fd : waiting) {
        ::close(fd);
    }
    ::close(listener);
}

BOOST_AUTO_TEST_SUITE_END()
