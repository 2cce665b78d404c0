#include <skylarkseam/core/name_table.hpp>
#include <skylarkseam/gateway/request_run.hpp>
#include <skylarkseam/gateway/second_attempts.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkseam {
namespace {

/// Tolerance for shares, which are fractions without an exact binary form.
constexpr double share_tolerance = 1e-9;

constexpr std::size_t max_named_services = 4; ///< Maximum number of missing services in a log line.

constexpr name_table part_state_names{std::array{
    named_value<part_state>{part_state::waiting, "waiting"},
    named_value<part_state>{part_state::sent, "no_answer_yet"},
    named_value<part_state>{part_state::refused, "refused"},
    named_value<part_state>{part_state::deferred, "deferred"},
    named_value<part_state>{part_state::answered, "answered"},
    named_value<part_state>{part_state::failed, "failed"},
}};

constexpr name_table outcome_names{std::array{
    named_value<attempt_outcome>{attempt_outcome::answered, "answered"},
    named_value<attempt_outcome>{attempt_outcome::refused, "refused"},
    named_value<attempt_outcome>{attempt_outcome::replaced, "replaced"},
    named_value<attempt_outcome>{attempt_outcome::not_sent, "not_sent"},
    named_value<attempt_outcome>{attempt_outcome::broken, "broken"},
}};

constexpr name_table reason_names{std::array{
    named_value<refusal_reason>{refusal_reason::not_ready, "not_ready"},
    named_value<refusal_reason>{refusal_reason::no_route, "no_route"},
    named_value<refusal_reason>{refusal_reason::no_searcher, "no_searcher"},
    named_value<refusal_reason>{refusal_reason::overloaded, "overloaded"},
    named_value<refusal_reason>{refusal_reason::backing_off, "backing_off"},
    named_value<refusal_reason>{refusal_reason::shards_down, "shards_down"},
    named_value<refusal_reason>{refusal_reason::all_refused, "all_refused"},
    named_value<refusal_reason>{refusal_reason::broken, "broken"},
    named_value<refusal_reason>{refusal_reason::crashes, "crashes_searchers"},
    named_value<refusal_reason>{refusal_reason::cut_off, "cut_off"},
    named_value<refusal_reason>{refusal_reason::deadline, "deadline"},
    named_value<refusal_reason>{refusal_reason::draining, "draining"},
}};

constexpr name_table relay_outcome_names{std::array{
    named_value<relay_outcome>{relay_outcome::answered, "answered"},
    named_value<relay_outcome>{relay_outcome::declined, "declined"},
    named_value<relay_outcome>{relay_outcome::not_sent, "not_sent"},
    named_value<relay_outcome>{relay_outcome::silent, "silent"},
    named_value<relay_outcome>{relay_outcome::lost, "lost"},
}};

} // namespace

std::string_view name_of(relay_outcome outcome) {
    return relay_outcome_names.name_of(outcome);
}

std::string_view name_of(attempt_outcome outcome) {
    return outcome_names.name_of(outcome);
}

run_state run_state_of(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::refused:
    case attempt_outcome::replaced:
    case attempt_outcome::not_sent:
        return run_state::no;
    case attempt_outcome::answered:
    case attempt_outcome::broken:
        return run_state::unknown;
    }
    return run_state::unknown;
}

std::string_view name_of(refusal_reason reason) {
    return reason_names.name_of(reason);
}

std::size_t request_run::count(part_state state) const {
    return static_cast<std::size_t>(
        std::count_if(parts.begin(), parts.end(), [state](const auto& it) { return it.state == state; }));
}

std::size_t request_run::answerable() const {
    const auto refused = count(part_state::refused);
    return parts.size() - count(part_state::failed) - refused + std::min(refused, max_parts_to_retry);
}

bool request_run::may_have_run() const {
    return std::any_of(parts.begin(), parts.end(), [](const auto& it) {
        const bool may_run =
            std::any_of(it.open.begin(), it.open.end(), [](const auto& one) { return one.may_run; });
        return it.may_have_run || it.state == part_state::answered || may_run;
    });
}

std::size_t request_run::required_parts() const {
    const auto* const plan = shards();
    if (plan == nullptr) {
        return 1;
    }
    const double required = plan->min_share * static_cast<double>(parts.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(required - share_tolerance)));
}

std::string request_run::missing_services() const {
    std::string text;
    std::size_t named = 0;
    for (const auto& it : parts) {
        if (it.state == part_state::answered || named == max_named_services) {
            continue;
        }
        ++named;
        text += text.empty() ? "" : ",";
        text += it.service + ":";
        text += it.state == part_state::failed ? name_of(it.reason) : part_state_names.name_of(it.state);
        text += it.extra_denied ? "+budget_spent" : "";
    }
    return text;
}

request_summary request_run::summary(time_point now) const {
    request_summary out;
    out.id = id;
    out.fingerprint = fingerprint;
    out.route = route->name;
    out.config_version = table->version;
    out.elapsed = now - arrived;
    out.objective = route->objective;
    out.parts = static_cast<std::uint32_t>(parts.size());
    out.parts_missing = static_cast<std::uint32_t>(parts.size() - count(part_state::answered));
    out.attempts = attempts;
    out.extra_attempts = extra_attempts;
    out.detail = last_fault;
    out.missing_services = missing_services();
    return out;
}

} // namespace skylarkseam
