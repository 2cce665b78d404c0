// Runs non-idempotent requests: through their claims, and then through the coordinator, at most once.
#pragma once

#include <skylarkseam/control/effect_claims.hpp>
#include <skylarkseam/shell/machine_runner.hpp>
#include <skylarkseam/shell/query_runner.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace skylarkseam {

/// What is known of an effect that was answered.
struct effect_report {
    std::string blank_body; ///< of the answer, but for request id and receipt
    bool replayed = false;
    query_answer answer; ///< empty where it was replayed
};

class effect_runner {
public:
    using report_sink = std::function<void(result<effect_report>)>;

    effect_runner(event_loop& loop, platform_client& platform, query_runner& queries, const std::string& node,
                  std::uint64_t incarnation);

    /// Runs a request with an idempotency key; `done` is called exactly once.
    void start(query_request request, duration deadline, report_sink done);

    void set_members(const std::vector<member>& members) { claims_.set_members(members); }

    /// Claims whose final state is not yet known to be stored.
    [[nodiscard]] std::size_t unsettled() const { return claims_.unsettled(); }
    [[nodiscard]] std::string state_json() const;

private:
    struct waiting {
        report_sink done;
        query_answer answer; ///< of the run, once it has ended
    };
    void perform(effect_output& output);
    void run(const effect_action::run_effect& action);

    event_loop& loop_;
    query_runner& queries_;
    effect_claims claims_;
    machine_runner<effect_claims, effect_input, effect_output> runner_;
    std::unordered_map<effect_id, waiting> waiting_;
    effect_id last_id_ = 0;
};

} // namespace skylarkseam
