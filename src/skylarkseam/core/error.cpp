#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <array>

namespace skylarkseam {
namespace {

constexpr int retry_soon_s = 1;
constexpr int retry_later_s = 5;

constexpr std::array answers{
    error_answer{error_kind::bad_request, "bad_request", 400, run_state::no, 0},
    error_answer{error_kind::unauthenticated_caller, "unauthenticated_caller", 400, run_state::no, 0},
    error_answer{error_kind::unknown_service, "unknown_service", 404, run_state::no, 0},
    error_answer{error_kind::not_found, "not_found", 404, run_state::no, 0},
    error_answer{error_kind::payload_too_large, "payload_too_large", 413, run_state::no, 0},
    error_answer{error_kind::duplicate_under_way, "duplicate_under_way", 409, run_state::unknown,
                 retry_soon_s},
    error_answer{error_kind::key_reused, "key_reused", 409, run_state::no, 0},
    error_answer{error_kind::conflict, "conflict", 409, run_state::no, 0},
    error_answer{error_kind::invalid_configuration, "invalid_configuration", 400, run_state::no, 0},
    error_answer{error_kind::invalid_settings, "invalid_settings", 400, run_state::no, 0},
    error_answer{error_kind::overloaded, "overloaded", 503, run_state::no, retry_soon_s},
    error_answer{error_kind::caller_over_limit, "caller_over_limit", 429, run_state::no, retry_soon_s},
    error_answer{error_kind::draining, "draining", 503, run_state::no, retry_soon_s},
    error_answer{error_kind::starting, "starting", 503, run_state::no, retry_soon_s},
    error_answer{error_kind::cut_off, "cut_off", 503, run_state::no, retry_later_s},
    error_answer{error_kind::no_owner, "no_owner", 503, run_state::no, retry_soon_s},
    error_answer{error_kind::snapshot_unavailable, "snapshot_unavailable", 503, run_state::no, retry_soon_s},
    error_answer{error_kind::platform_unavailable, "platform_unavailable", 503, run_state::no, retry_later_s},
    error_answer{error_kind::deadline_exceeded, "deadline_exceeded", 504, run_state::unknown, 0},
    error_answer{error_kind::coverage_missed, "coverage_missed", 504, run_state::yes, 0},
    error_answer{error_kind::upstream_failed, "upstream_failed", 502, run_state::unknown, 0},
    error_answer{error_kind::protocol_violation, "protocol_violation", 400, run_state::no, 0},
    error_answer{error_kind::outcome_unknown, "outcome_unknown", 504, run_state::unknown, 0},
    error_answer{error_kind::internal, "internal", 500, run_state::unknown, 0},
};

constexpr name_table run_state_names{std::array{
    named_value<run_state>{run_state::no, "no"},
    named_value<run_state>{run_state::yes, "yes"},
    named_value<run_state>{run_state::unknown, "unknown"},
}};

} // namespace

const error_answer& answer_for(error_kind kind) {
    for (const auto& it : answers) {
        if (it.kind == kind) {
            return it;
        }
    }
    return answers.back();
}

std::string_view name_of(error_kind kind) {
    return answer_for(kind).name;
}

std::optional<run_state> find_run_state(std::string_view name) {
    return run_state_names.find(name);
}

std::string_view name_of(run_state ran) {
    return run_state_names.name_of(ran);
}

error make_error(error_kind kind, std::string detail) {
    return {kind, std::move(detail), answer_for(kind).ran};
}

} // namespace skylarkseam
