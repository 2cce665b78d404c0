#include <skylarkseam/shell/admin_service.hpp>
#include <skylarkseam/shell/caller_service.hpp>

namespace skylarkseam {

admin_service::admin_service(event_loop& loop, http_limits limits, metrics& measured,
                             std::function<void()> refresh, std::function<std::optional<error>()> unfit)
    : measured_(measured)
    , refresh_(std::move(refresh))
    , unfit_(std::move(unfit))
    , server_(loop, limits,
              [this](const incoming_request& request, const respond& answer) { handle(request, answer); }) {}

std::string admin_service::state_json() const {
    std::string out = "{";
    for (const auto& [name, write] : sections_) {
        if (out.size() > 1) {
            out += ',';
        }
        out += json_text(name) + ":" + write();
    }
    return out + "}";
}

void admin_service::handle(const incoming_request& request, const respond& answer) {
    if (request.method == "GET" && request.path == "/state") {
        answer({200, state_json(), "application/json", {}, false});
    } else if (request.method == "GET" && request.path == "/metrics") {
        refresh_();
        answer({200, measured_.prometheus_text(), "text/plain; version=0.0.4", {}, false});
    } else if (request.method == "GET" && request.path == "/healthz") {
        const auto fault = unfit_();
        answer(fault ? error_response(*fault)
                     : outgoing_response{200, R"({"status":"ok"})", "application/json", {}, false});
    } else {
        answer(error_response(make_error(error_kind::not_found, "no such path: " + request.path)));
    }
}

} // namespace skylarkseam
