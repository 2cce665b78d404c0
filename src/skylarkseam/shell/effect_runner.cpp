#include <skylarkseam/shell/effect_runner.hpp>
#include <skylarkseam/wire/caller_json.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {

effect_runner::effect_runner(event_loop& loop, platform_client& platform, query_runner& queries,
                             const std::string& node, std::uint64_t incarnation)
    : loop_(loop)
    , queries_(queries)
    , claims_(node, incarnation)
    , runner_(loop, platform, claims_, [this](effect_output& output) { perform(output); }) {}

void effect_runner::start(query_request request, duration deadline, report_sink done) {
    const auto id = ++last_id_;
    waiting_[id] = {std::move(done), {}};
    runner_.feed(effect_event::request_arrived{id, std::move(request), loop_.now() + deadline});
}

void effect_runner::perform(effect_output& output) {
    if (const auto* action = std::get_if<effect_action::run_effect>(&output)) {
        return run(*action);
    }
    auto& answer = std::get<effect_action::answer_effect>(output);
    auto found = waiting_.extract(answer.id);
    if (found.empty()) {
        return;
    }
    auto& it = found.mapped();
    if (!answer.answer) {
        return it.done(answer.answer.error());
    }
    auto& value = answer.answer.value();
    it.done(effect_report{std::move(value.body_json), value.replayed, std::move(it.answer)});
}

void effect_runner::run(const effect_action::run_effect& action) {
    auto request = action.request;
    request.deadline = action.deadline - loop_.now();
    queries_.start(std::move(request), [this, id = action.id](const result<query_answer>& answer) {
        effect_event::effect_ended event;
        event.id = id;
        if (answer) {
            event.end = effect_end::answered;
            event.body_json = encode_blank_answer(answer.value());
            if (const auto it = waiting_.find(id); it != waiting_.end()) {
                it->second.answer = answer.value();
            }
        } else {
            event.end = answer.error().ran == run_state::no ? effect_end::not_run : effect_end::unknown;
            event.failure = answer.error();
        }
        // The coordinator may answer within start(): the claims take the event after they have returned.
        loop_.post([this, event = std::move(event)] { runner_.feed(event); });
    });
}

std::string effect_runner::state_json() const {
    const auto& counts = claims_.counters();
    return nlohmann::json{
        {"open", claims_.open()},      {"unsettled", claims_.unsettled()},
        {"arrived", counts.arrived},   {"dispatched", counts.dispatched},
        {"replayed", counts.replayed}, {"duplicates", counts.duplicates},
        {"not_run", counts.not_run},   {"unknown", counts.unknown},
    }
        .dump();
}

} // namespace skylarkseam
