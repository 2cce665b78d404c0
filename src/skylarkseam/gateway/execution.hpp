// What is said of the execution of a request, and who says it. It goes with each answer between the request
// logic, the I/O layer and other hosts, so that it is not inferred from a status.
#pragma once

#include <skylarkseam/core/error.hpp>

#include <cstdint>
#include <string_view>

namespace skylarkseam {

enum class execution_source : std::uint32_t {
    unstated, ///< The answer came from a host of an earlier build, which does not state it.
    gateway,  ///< A gateway, from what it has sent and what came back.
    searcher, ///< The searcher whose answer it is.
};

[[nodiscard]] std::string_view name_of(execution_source source);

/// Without a statement, a request may have run. `run_state::no` also says that it never will.
struct execution_report {
    run_state ran = run_state::unknown;
    execution_source source = execution_source::unstated;

    [[nodiscard]] bool may_have_run() const { return ran != run_state::no; }
};

/// Whether a status tells a client that its request has not run and never will. Used to check the status of
/// an answer against its report, never to find out whether a request has run.
[[nodiscard]] bool promises_not_run(int status);

} // namespace skylarkseam
