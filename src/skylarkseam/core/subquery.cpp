#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/core/subquery.hpp>

namespace skylarkseam {
namespace {

constexpr name_table subquery_outcome_names{std::array{
    named_value<subquery_outcome>{subquery_outcome::answered, "answered"},
    named_value<subquery_outcome>{subquery_outcome::not_run_refused, "not_run_refused"},
    named_value<subquery_outcome>{subquery_outcome::not_run_shed, "not_run_shed"},
    named_value<subquery_outcome>{subquery_outcome::snapshot_not_held, "snapshot_not_held"},
    named_value<subquery_outcome>{subquery_outcome::shard_not_held, "shard_not_held"},
    named_value<subquery_outcome>{subquery_outcome::failed, "failed"},
    named_value<subquery_outcome>{subquery_outcome::timed_out, "timed_out"},
    named_value<subquery_outcome>{subquery_outcome::cancelled, "cancelled"},
}};

} // namespace

std::string_view name_of(subquery_outcome outcome) {
    return subquery_outcome_names.name_of(outcome);
}

} // namespace skylarkseam
