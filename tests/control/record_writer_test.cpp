// Answers of the platform that come late, after a newer call of the same writer.
#include <skylarkseam/control/record_writer.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

struct writer_fixture {
    time_point now{seconds(50)};
    cell_timing timing;
    record_writer writer{timing, "n1-"};
    std::vector<cell_output> out;

    platform_call_id read() {
        writer.read(now, out);
        return std::get<cell_action::read_record>(out.back()).call;
    }
    platform_call_id write() {
        writer.write(7, {}, {}, now, out);
        return std::get<cell_action::write_record>(out.back()).call;
    }
    platform_result answer(platform_call_id call, record_version version) {
        cell_event::platform_answered event;
        event.call = call;
        event.status = platform_status::ok;
        event.version = version;
        event.record.emplace();
        event.record->token = "another";
        return writer.on_answer(event, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_answer_that_comes_after_a_newer_call, writer_fixture)

BOOST_AUTO_TEST_CASE(to_a_read_does_not_tell_the_outcome_of_a_later_update) {
    const auto old_read = read();
    now += timing.platform_timeout;
    write(); // Its answer is lost.
    now += milliseconds(100);
    answer(old_read, 7);
    BOOST_TEST(writer.needs_read_back());
    now += timing.platform_timeout;
    answer(read(), 8);
    BOOST_TEST(!writer.needs_read_back());
}

BOOST_AUTO_TEST_CASE(to_an_update_that_was_superseded_is_no_read) {
    const auto update = write();
    writer.discard_superseded(8);
    now += timing.platform_timeout;
    write();
    const auto late = answer(update, 8);
    BOOST_TEST(!late.record.has_value());
    BOOST_TEST(writer.needs_read_back());
}

BOOST_AUTO_TEST_SUITE_END()
