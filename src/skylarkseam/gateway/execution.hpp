// What is said of the execution of a request, and who says it. It travels with each answer, so that nobody
// has to conclude from a status whether the request may have run.
#pragma once

#include <cstdint>
#include <string_view>

namespace skylarkseam {

enum class execution : std::uint32_t {
    not_run,      ///< No searcher has run the request, and none will.
    may_have_run, ///< A searcher has run it, may have run it, or may still run it.
};

enum class execution_source : std::uint32_t {
    unstated, ///< Nobody: the answer came from a host whose build does not say it.
    gateway,  ///< A gateway, from what it has sent and what came back.
    searcher, ///< The searcher whose answer it is.
};

[[nodiscard]] std::string_view name_of(execution state);
[[nodiscard]] std::string_view name_of(execution_source source);

/// Without a statement, a request may have run.
struct execution_report {
    execution state = execution::may_have_run;
    execution_source source = execution_source::unstated;

    [[nodiscard]] bool may_have_run() const { return state == execution::may_have_run; }
};

/// Whether a status tells a client that its request has not run and never will. Used to check the status of
/// an answer against its report, never to find out whether a request has run.
[[nodiscard]] bool promises_not_run(int status);

} // namespace skylarkseam
