#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/execution.hpp>

#include <algorithm>
#include <array>

namespace skylarkseam {
namespace {

/// Request timeout, misdirected request, too many requests, service unavailable.
constexpr std::array promising_statuses{408, 421, 429, 503};

constexpr name_table source_names{std::array{
    named_value<execution_source>{execution_source::unstated, "unstated"},
    named_value<execution_source>{execution_source::gateway, "gateway"},
    named_value<execution_source>{execution_source::searcher, "searcher"},
}};

} // namespace

std::string_view name_of(execution_source source) {
    return source_names.name_of(source);
}

bool promises_not_run(int status) {
    return std::find(promising_statuses.begin(), promising_statuses.end(), status) !=
           promising_statuses.end();
}

} // namespace skylarkseam
