// Tests the table that maps error kinds to answers.
#include <skylarkseam/core/error.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace skylarkseam;

BOOST_AUTO_TEST_SUITE(error_answers)

BOOST_AUTO_TEST_CASE(each_kind_has_a_unique_name) {
    std::set<std::string_view> names;
    const auto n = static_cast<int>(error_kind::internal) + 1;
    for (int it = 0; it < n; ++it) {
        const auto kind = static_cast<error_kind>(it);
        BOOST_TEST(static_cast<int>(answer_for(kind).kind) == it);
        names.insert(name_of(kind));
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(n));
}

BOOST_AUTO_TEST_CASE(a_retryable_refusal_was_not_run_and_has_a_retry_after_time) {
    for (const auto kind : {error_kind::overloaded, error_kind::caller_over_limit, error_kind::draining,
                            error_kind::cut_off, error_kind::platform_unavailable}) {
        BOOST_TEST((answer_for(kind).ran == run_state::no));
        BOOST_TEST(answer_for(kind).retry_after_s > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
