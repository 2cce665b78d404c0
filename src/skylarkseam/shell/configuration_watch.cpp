#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/shell/configuration_watch.hpp>
#include <skylarkseam/shell/logging.hpp>
#include <skylarkseam/wire/configuration_json.hpp>

namespace skylarkseam {
namespace {

constexpr duration retry_interval = milliseconds(300);
constexpr std::int64_t watch_timeout_ms = 10'000;

platform_request get_head() {
    platform_request request;
    request.method = platform_method::get;
    request.kind = configuration_kind;
    request.name = configuration_name;
    return request;
}

} // namespace

configuration_watch::configuration_watch(event_loop& loop, platform_client& platform,
                                         std::function<void(std::shared_ptr<const configuration>)> on_change)
    : loop_(loop)
    , platform_(platform)
    , on_change_(std::move(on_change)) {}

void configuration_watch::read() {
    platform_.call(get_head(), [this](const platform_response& response) {
        take(response);
        if (response.status == platform_status::ok) {
            watch();
        } else {
            loop_.run_after(retry_interval, [this] { read(); });
        }
    });
}

void configuration_watch::take(const platform_response& response) {
    if (response.status != platform_status::ok || response.objects.empty()) {
        return;
    }
    version_ = response.version;
    const auto head = json_configuration_codec().decode_head(response.objects.front().value_json);
    if (!head || head.value().generation <= generation_) {
        return;
    }
    auto config = json_configuration_codec().decode_body(head.value().body, head.value().generation);
    if (!config) {
        log_event(log_level::error, "configuration_refused", {{"detail", config.error().detail}});
        return;
    }
    generation_ = head.value().generation;
    on_change_(std::move(config.value()));
}

void configuration_watch::watch() {
    platform_request request;
    request.method = platform_method::watch;
    request.kind = configuration_kind;
    request.version = version_;
    request.timeout_ms = watch_timeout_ms;
    platform_.call(request, [this](const platform_response& response) {
        if (response.status == platform_status::ok) {
            read();
        } else {
            loop_.run_after(retry_interval, [this] { read(); });
        }
    });
}

} // namespace skylarkseam
