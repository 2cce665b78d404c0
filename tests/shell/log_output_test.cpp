// Log lines under load: bounded, never blocking, and what is left out is counted.
#include <skylarkseam/shell/log_output.hpp>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace skylarkseam;

namespace {

struct pipe_fixture {
    int ends[2] = {-1, -1}; // NOLINT(modernize-avoid-c-arrays)
    time_point now{seconds(10)};
    pipe_fixture() {
        BOOST_REQUIRE(::pipe(ends) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~pipe_fixture() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_fixture(const pipe_fixture&) = delete;
    pipe_fixture& operator=(const pipe_fixture&) = delete;

    std::string read_all() const {
        std::string text;
        char buf[65536]; // NOLINT(modernize-avoid-c-arrays)
        for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof buf)) > 0;) {
            text.append(buf, static_cast<std::size_t>(n));
        }
        return text;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_output_of_logs, pipe_fixture)

BOOST_AUTO_TEST_CASE(keeps_to_its_rate_and_says_what_it_left_out) {
    log_output output(ends[1], {10.0, 20.0, 1U << 16U});
    for (int n = 0; n < 100; ++n) {
        output.add("event=answer", false, now);
    }
    output.add("event=store_lost", true, now);
    output.flush();
    const auto text = read_all();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 22);
    BOOST_TEST(text.find("event=log_left_out lines=80") != std::string::npos);
    BOOST_TEST(text.find("event=store_lost") != std::string::npos);
    BOOST_TEST(output.left_out() == 80U);
}

BOOST_AUTO_TEST_CASE(never_waits_for_a_reader_that_does_not_read) {
    log_output output(ends[1], {1e6, 1e6, 1U << 18U});
    const std::string line(1000, 'x');
    for (int n = 0; n < 1000; ++n) {
        output.add(line, false, now);
        output.flush();
    }
    BOOST_TEST(output.left_out() > 0U);
    BOOST_TEST(!output.empty());
    read_all();
    output.flush();
    BOOST_TEST(!read_all().empty());
}

BOOST_AUTO_TEST_SUITE_END()
