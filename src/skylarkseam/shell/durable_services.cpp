#include <skylarkseam/control/claim_record.hpp>
#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/shell/durable_services.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

std::vector<std::string> retired_kinds() {
    std::vector<std::string> kinds;
    kinds.reserve(claim_bucket_count + job_bucket_count);
    for (unsigned it = 0; it < claim_bucket_count; ++it) {
        kinds.push_back(claim_kind(it));
    }
    for (unsigned it = 0; it < job_bucket_count; ++it) {
        kinds.push_back(result_kind(it));
    }
    return kinds;
}

ledger_outcome served(const query_answer* answer, const std::string& blank_body, const char* how) {
    return {how, run_state::yes, answer, sha256_hex(blank_body)};
}

} // namespace

durable_services::durable_services(event_loop& loop, platform_client& platform, peer_client& peers,
                                   query_runner& queries, configuration_source config,
                                   const std::string& node, std::uint64_t incarnation)
    : loop_(loop)
    , platform_(platform)
    , queries_(queries)
    , config_(std::move(config))
    , ledger_(loop, platform, peers, node, incarnation)
    , effects_(loop, platform, queries, node, incarnation)
    , jobs_(loop, platform, node, incarnation,
            [this](query_request request, std::function<void(result<std::string>)> done) {
                run_job(std::move(request), std::move(done));
            })
    , retirement_(node, retired_kinds())
    , retirement_timer_(loop, [this] { pass_time_of_retirement(); }) {}

void durable_services::add_sections(admin_service& admin) {
    admin.add_section("effects", [this] { return effects_.state_json(); });
    admin.add_section("jobs", [this] { return jobs_.state_json(); });
    admin.add_section("ledger", [this] { return ledger_.state_json(); });
    admin.add_section("retirement", [this] {
        const auto& counts = retirement_.counters();
        return nlohmann::json{
            {"lists", counts.lists}, {"retired", counts.retired}, {"made_unknown", counts.made_unknown}}
            .dump();
    });
}

void durable_services::add_handlers(caller_handlers& handlers) {
    handlers.on_query = [this](query_request request, outcome_sink done) {
        start(std::move(request), std::move(done));
    };
    handlers.on_refused = [this](const query_request& request, const error& fault) {
        refused(request, ledger_.next_arrival(), fault);
    };
    handlers.on_job = [this](const std::string& job, const std::string& caller,
                             std::function<void(result<std::string>)> done) {
        jobs_.find(job, caller, [done = std::move(done)](const result<job_record>& found) {
            done(found ? result<std::string>(encode_job_status(found.value())) : found.error());
        });
    };
}

void durable_services::set_members(const std::vector<member>& members) {
    ledger_.set_members(members);
    effects_.set_members(members);
    jobs_.set_members(members);
    retirement_.set_members(members);
    pass_time_of_retirement();
}

void durable_services::start(query_request request, outcome_sink done) {
    const auto arrival = ledger_.next_arrival();
    const auto config = config_();
    const auto found = config->services.find(request.service);
    if (found == config->services.end()) {
        done(refused(request, arrival, make_error(error_kind::unknown_service, "no such service")));
        return;
    }
    const auto& service = found->second;
    request.cls = request.cls.value_or(service.cls);
    if (request.cls == request_class::deferrable) {
        return start_job(std::move(request), arrival, std::move(done));
    }
    if (!service.idempotent) {
        const auto deadline = std::min(request.deadline.value_or(service.deadline), service.deadline);
        return start_effect(std::move(request), arrival, deadline, std::move(done));
    }
    start_query(std::move(request), arrival, std::move(done));
}

void durable_services::start_query(query_request request, std::uint64_t arrival, outcome_sink done) {
    auto asked = request;
    queries_.start(std::move(asked), [this, request = std::move(request), arrival,
                                      done = std::move(done)](result<query_answer> answer) {
        if (!answer) {
            done(refused(request, arrival, answer.error()));
            return;
        }
        auto body = encode_blank_answer(answer.value());
        auto receipt = ledger_.record(request, arrival, served(&answer.value(), body, "served"));
        done({std::move(answer), std::move(receipt), {}, std::move(body)});
    });
}

void durable_services::start_effect(query_request request, std::uint64_t arrival, duration deadline,
                                    outcome_sink done) {
    auto asked = request;
    effects_.start(
        std::move(asked), deadline,
        [this, request = std::move(request), arrival, done = std::move(done)](result<effect_report> report) {
            if (!report) {
                done(refused(request, arrival, report.error()));
                return;
            }
            auto& it = report.value();
            const auto* answer = it.replayed ? nullptr : &it.answer;
            const auto* how = it.replayed ? "replayed" : "served";
            auto receipt = ledger_.record(request, arrival, served(answer, it.blank_body, how));
            done({std::move(it.answer), std::move(receipt), {}, std::move(it.blank_body)});
        });
}

void durable_services::start_job(query_request request, std::uint64_t arrival, outcome_sink done) {
    auto asked = request;
    jobs_.submit(std::move(asked), [this, request = std::move(request), arrival,
                                    done = std::move(done)](const result<job_record>& stored) {
        if (!stored) {
            done(refused(request, arrival, stored.error()));
            return;
        }
        auto receipt = ledger_.record(request, arrival, {"accepted", run_state::no, nullptr, {}});
        done({query_answer{}, std::move(receipt), stored.value().id, {}});
    });
}

/// A job of a non-idempotent service runs under a key of its own, so that none of its attempts runs twice.
void durable_services::run_job(query_request request, std::function<void(result<std::string>)> done) {
    const auto config = config_();
    const auto found = config->services.find(request.service);
    if (found == config->services.end()) {
        done(make_error(error_kind::unknown_service, "no such service"));
        return;
    }
    const auto id = request.request_id;
    const auto take = [id, done = std::move(done)](request_outcome outcome) {
        done(outcome.answer
                 ? result<std::string>(complete_answer(outcome.blank_body, id, outcome.receipt_json))
                 : outcome.answer.error());
    };
    const auto arrival = ledger_.next_arrival();
    if (found->second.idempotent) {
        request.idempotency_key.clear();
        return start_query(std::move(request), arrival, take);
    }
    request.idempotency_key = id;
    start_effect(std::move(request), arrival, found->second.deadline, take);
}

request_outcome durable_services::refused(const query_request& request, std::uint64_t arrival,
                                          const error& fault) {
    ledger_outcome outcome{std::string(name_of(fault.kind)), fault.ran, nullptr, {}};
    return {fault, ledger_.record(request, arrival, outcome), {}, {}};
}

void durable_services::pass_time_of_retirement() {
    std::vector<platform_call> calls;
    retirement_.pass_time(loop_.now(), calls);
    call_for_retirement(calls);
}

void durable_services::call_for_retirement(const std::vector<platform_call>& calls) {
    for (const auto& it : calls) {
        platform_.call(it.request, [this, id = it.id](platform_response response) {
            std::vector<platform_call> more;
            retirement_.handle({id, std::move(response)}, loop_.now(), more);
            call_for_retirement(more);
        });
    }
    retirement_timer_.set(retirement_.next_wakeup());
}

} // namespace skylarkseam
