// The complete list of error kinds, and the table that maps each kind to the answer for a caller or operator.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace skylarkseam {

/// Whether the failed request was run by an upstream.
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

/// Entry of the table that maps error kinds to answers.
struct error_answer {
    error_kind kind;
    std::string_view name;
    int http_status;
    run_state ran;     ///< Default run state of the answer; `error::ran` overrides it.
    int retry_after_s; ///< Value of the Retry-After header in seconds; 0 omits the header.
};

[[nodiscard]] const error_answer& answer_for(error_kind kind);
[[nodiscard]] std::string_view name_of(error_kind kind);
[[nodiscard]] std::string_view name_of(run_state ran);
[[nodiscard]] std::optional<run_state> find_run_state(std::string_view name);

/// Error value used throughout the program: its kind, a description of the fault, and whether the request
/// ran.
struct error {
    error_kind kind = error_kind::internal;
    std::string detail;
    run_state ran = run_state::no;
};

/// Returns an error with the default run state of its kind.
[[nodiscard]] error make_error(error_kind kind, std::string detail);

template <typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace skylarkseam
