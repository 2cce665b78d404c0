#include <skylarkseam/shell/caller_service.hpp>

#include <charconv>

namespace skylarkseam {
namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::int64_t max_deadline_ms = 600'000;

error bad(const std::string& what) {
    return make_error(error_kind::bad_request, what);
}

result<std::string> read_name(const incoming_request& request, const std::string& header, const char* shown) {
    auto value = request.header(header);
    if (value.empty()) {
        return bad(std::string("the header ") + shown + " is missing");
    }
    if (value.size() > max_name_bytes) {
        return bad(std::string("the header ") + shown + " is longer than 256 bytes");
    }
    return value;
}

result<void> read_deadline(const incoming_request& request, query_request& into) {
    const auto text = request.header("x-deadline-ms");
    if (text.empty()) {
        return success();
    }
    std::int64_t ms = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size() || ms < 1 || ms > max_deadline_ms) {
        return bad("X-Deadline-Ms must be a whole number from 1 to 600000");
    }
    into.deadline = milliseconds(ms);
    return success();
}

result<void> read_class(const incoming_request& request, query_request& into) {
    const auto text = request.header("x-class");
    if (text.empty()) {
        return success();
    }
    into.cls = find_request_class(text);
    if (!into.cls) {
        return bad("X-Class must be urgent, interactive or deferrable");
    }
    return success();
}

result<query_request> read_query(const incoming_request& request, const std::string& service,
                                 const caller_limits& limits) {
    query_request query;
    query.service = service;
    BOOST_OUTCOME_TRY(caller, read_name(request, "x-caller", "X-Caller"));
    query.caller = std::move(caller);
    BOOST_OUTCOME_TRY(id, read_name(request, "x-request-id", "X-Request-Id"));
    query.request_id = std::move(id);
    BOOST_OUTCOME_TRYV(read_deadline(request, query));
    BOOST_OUTCOME_TRYV(read_class(request, query));
    query.idempotency_key = request.header("idempotency-key");
    if (query.idempotency_key.size() > max_name_bytes) {
        return bad("the header Idempotency-Key is longer than 256 bytes");
    }
    BOOST_OUTCOME_TRYV(decode_query_body(request.body, limits, query));
    return query;
}

/// What only the configuration can tell of a request. The key of a request to an idempotent service is
/// dropped: such a request may run again, and is scattered. A deferrable one keeps it, as its job's key.
std::optional<error> check_against(const configuration& config, query_request& query) {
    const auto it = config.services.find(query.service);
    if (it == config.services.end()) {
        return make_error(error_kind::unknown_service, "no such service: " + query.service);
    }
    if (!it->second.idempotent && query.idempotency_key.empty()) {
        return bad("the service " + query.service +
                   " is not idempotent: the header Idempotency-Key is missing");
    }
    if (it->second.idempotent && query.cls.value_or(it->second.cls) != request_class::deferrable) {
        query.idempotency_key.clear();
    }
    return std::nullopt;
}

std::string service_label(const std::string& service) {
    return "service=\"" + service + "\"";
}

} // namespace

outgoing_response error_response(const error& fault) {
    outgoing_response response;
    const auto& row = answer_for(fault.kind);
    response.status = row.http_status;
    response.body = encode_error(fault);
    if (row.retry_after_s > 0) {
        response.headers.push_back({"Retry-After", std::to_string(row.retry_after_s)});
    }
    return response;
}

caller_service::caller_service(event_loop& loop, http_limits limits, caller_limits query_limits,
                               metrics& measured, caller_handlers handlers)
    : loop_(loop)
    , query_limits_(query_limits)
    , measured_(measured)
    , handlers_(std::move(handlers))
    , server_(loop, limits,
              [this](const incoming_request& request, const respond& answer) { handle(request, answer); }) {}

void caller_service::handle(const incoming_request& request, const respond& answer) {
    const auto parts = request.segments();
    if (request.method == "GET" && request.path == "/healthz") {
        const auto fault = handlers_.unfit();
        answer(fault ? error_response(*fault)
                     : outgoing_response{200, R"({"status":"ok"})", "application/json", {}});
        return;
    }
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "services" && parts[3] == "query") {
        if (request.method != "POST") {
            answer(error_response(bad("a query is sent by POST")));
            return;
        }
        handle_query(request, parts[2], answer);
        return;
    }
    if (request.method == "GET" && parts.size() == 3 && parts[0] == "v1" && parts[1] == "jobs") {
        handle_job(parts[2], request.header("x-caller"), answer);
        return;
    }
    answer(error_response(
        make_error(error_kind::not_found, "no such path: " + request.method + " " + request.path)));
}

void caller_service::handle_query(const incoming_request& request, const std::string& service,
                                  const respond& answer) {
    const auto began = loop_.now();
    query_request seen;
    seen.service = service;
    seen.caller = request.header("x-caller").substr(0, max_name_bytes);
    seen.request_id = request.header("x-request-id").substr(0, max_name_bytes);
    if (const auto fault = handlers_.refuse()) {
        return refuse_query(seen, began, *fault, answer);
    }
    auto query = read_query(request, service, query_limits_);
    if (!query) {
        return refuse_query(seen, began, query.error(), answer);
    }
    if (const auto fault = check_against(*handlers_.configuration_now(), query.value())) {
        return refuse_query(query.value(), began, *fault, answer);
    }
    auto id = query.value().request_id;
    handlers_.on_query(std::move(query.value()),
                       [this, id = std::move(id), service, began, answer](const request_outcome& outcome) {
                           finish_query(id, service, began, outcome, answer);
                       });
}

void caller_service::refuse_query(const query_request& request, time_point began, const error& fault,
                                  const respond& answer) {
    if (handlers_.on_refused) {
        handlers_.on_refused(request, fault);
    }
    finish_query(request.request_id, request.service, began, {fault}, answer);
}

void caller_service::finish_query(const std::string& request_id, const std::string& service, time_point began,
                                  const request_outcome& outcome, const respond& answer) {
    // An unknown service's name is the caller's text: it must not become a label of its own.
    const auto config = handlers_.configuration_now();
    const bool known = config && config->services.count(service) > 0;
    const auto label = service_label(known ? service : "unknown");
    measured_.observe("query_seconds", label, loop_.now() - began);
    if (!outcome.job.empty()) {
        measured_.count("answers", label + ",outcome=\"accepted\"");
        answer({202, R"({"job":)" + json_text(outcome.job) + "}", "application/json", {}});
        return;
    }
    if (!outcome.answer) {
        measured_.count("answers",
                        label + ",outcome=\"" + std::string(name_of(outcome.answer.error().kind)) + "\"");
        answer(error_response(outcome.answer.error()));
        return;
    }
    const bool whole = outcome.answer.value().covered.missing.empty();
    measured_.count("answers", label + (whole ? ",outcome=\"whole\"" : ",outcome=\"partial\""));
    auto body = outcome.blank_body.empty()
                    ? encode_answer(request_id, outcome.answer.value(), outcome.receipt_json)
                    : complete_answer(outcome.blank_body, request_id, outcome.receipt_json);
    answer({200, std::move(body), "application/json", {}});
}

void caller_service::handle_job(const std::string& job, const std::string& caller, const respond& answer) {
    handlers_.on_job(job, caller, [answer](const result<std::string>& body) {
        answer(body ? outgoing_response{200, body.value(), "application/json", {}}
                    : error_response(body.error()));
    });
}

} // namespace skylarkseam
