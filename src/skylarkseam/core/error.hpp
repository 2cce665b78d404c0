// The closed list of error kinds, and the one table from kind to the answer that a caller or an operator
// gets.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

/// Whether the request that an error answers has run at an upstream.
enum class run_state { no, yes, unknown };

enum class error_kind {
    bad_request,
    unauthenticated_caller,
    unknown_service,
    not_found,
    payload_too_large,
    duplicate_under_way,
    key_reused,
    conflict,
    invalid_configuration,
    invalid_settings,
    overloaded,
    caller_over_limit,
    draining,
    starting,
    cut_off,
    no_owner,
    snapshot_unavailable,
    platform_unavailable,
    deadline_exceeded,
    coverage_missed,
    upstream_failed,
    protocol_violation,
    outcome_unknown,
    internal,
};

/// One row of the table from kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name;
    int http_status;
    run_state ran;     ///< what the answer says unless the error states otherwise
    int retry_after_s; ///< 0: the answer has no Retry-After header
};

[[nodiscard]] const error_answer& answer_for(error_kind kind);
[[nodiscard]] std::string_view name_of(error_kind kind);
[[nodiscard]] std::string_view name_of(run_state ran);

/// An error as it travels through the program: its kind, a text that names the fault, and whether the request
/// ran.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
    run_state ran = run_state::no;
};

/// An error whose run state is the kind's usual one.
[[nodiscard]] error make_error(error_kind kind, std::string detail);

template <typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace skylarkseam
