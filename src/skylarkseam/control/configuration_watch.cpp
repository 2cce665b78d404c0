#include <skylarkseam/control/configuration_watch.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::string_view platform_source = "platform";

const platform_object* find_head(const platform_response& answer) {
    const platform_object* found = nullptr;
    for (const auto& it : answer.objects) {
        if (it.name == configuration_name && !it.deleted) {
            found = &it;
        }
    }
    return found;
}

bool answered(const platform_response& answer) {
    return answer.status == platform_status::ok || answer.status == platform_status::not_found;
}

} // namespace

configuration_watch::configuration_watch(configuration_watch_options options,
                                         const configuration_codec& codec)
    : options_(options)
    , codec_(codec) {}

void configuration_watch::set_watching(bool watching, time_point now) {
    if (watching == watching_) {
        return;
    }
    watching_ = watching;
    store_version_.clear();
    watch_.due = watching ? std::optional(now) : std::nullopt;
    watch_.backoff = {};
    read_.due = watch_.due;
}

void configuration_watch::request_read(time_point now) {
    if (!read_.open && !read_.due) {
        read_.due = now;
    }
}

void configuration_watch::take_due_calls(time_point now, std::vector<call>& out) {
    if (watching_ && !watch_.open && watch_.due && *watch_.due <= now) {
        watch_.open = true;
        out.push_back({watch_call::watch, watch_request()});
    }
    if (!read_.open && read_.due && *read_.due <= now) {
        read_.open = true;
        out.push_back({watch_call::read, read_head_request()});
    }
    if (collector_) {
        for (auto& it : collector_->take_requests()) {
            out.push_back({watch_call::piece, std::move(it)});
        }
    }
}

platform_request configuration_watch::watch_request() const {
    platform_request request;
    request.kind = configuration_kind;
    request.method = store_version_.empty() ? platform_method::list : platform_method::watch;
    request.version = store_version_;
    request.timeout_ms = store_version_.empty() ? 0 : to_ms(options_.watch_timeout);
    return request;
}

result<std::optional<configuration_candidate>> configuration_watch::on_answer(watch_call purpose,
                                                                              const platform_response& answer,
                                                                              generation_id in_force,
                                                                              time_point now) {
    if (purpose == watch_call::piece) {
        return handle_piece(answer, now);
    }
    if (purpose == watch_call::watch) {
        handle_watch_answer(answer, now);
    } else if (answered(answer)) {
        record_success(read_, watching_ ? std::optional(now + options_.read_interval) : std::nullopt, now);
    } else {
        record_failure(read_, now);
    }
    const auto* head = answered(answer) ? find_head(answer) : nullptr;
    if (head == nullptr) {
        return std::optional<configuration_candidate>();
    }
    return handle_head(*head, in_force);
}

void configuration_watch::handle_watch_answer(const platform_response& answer, time_point now) {
    if (answered(answer)) {
        store_version_ = answer.version;
        record_success(watch_, now, now);
        return;
    }
    if (answer.status == platform_status::version_too_old) {
        store_version_.clear();
    }
    record_failure(watch_, now);
}

void configuration_watch::record_success(call_schedule& schedule, std::optional<time_point> due,
                                         time_point now) {
    schedule = {false, due, {}};
    last_answer_at_ = now;
}

void configuration_watch::record_failure(call_schedule& schedule, time_point now) {
    schedule.open = false;
    schedule.backoff = std::clamp(schedule.backoff * 2, options_.retry_pause, options_.max_retry_pause);
    schedule.due = now + schedule.backoff;
}

result<std::optional<configuration_candidate>> configuration_watch::handle_head(const platform_object& object,
                                                                                generation_id in_force) {
    auto head = codec_.decode_head(object.value_json);
    if (head.has_error()) {
        return head.error();
    }
    if (head.value().generation <= in_force) {
        refused_lower_ += head.value().generation < in_force ? 1 : 0;
        return std::optional<configuration_candidate>();
    }
    if (collector_ && collector_->head().generation >= head.value().generation) {
        return std::optional<configuration_candidate>();
    }
    collector_.emplace(std::move(head.value()));
    return assemble();
}

result<std::optional<configuration_candidate>>
configuration_watch::handle_piece(const platform_response& answer, time_point now) {
    if (!collector_) {
        return std::optional<configuration_candidate>();
    }
    const auto added = collector_->add(answer, codec_);
    if (added.has_error()) {
        collector_.reset();
        if (!read_.open) {
            record_failure(read_, now);
        }
        return added.error();
    }
    return assemble();
}

std::optional<configuration_candidate> configuration_watch::assemble() {
    auto body = collector_->body();
    if (!body) {
        return std::nullopt;
    }
    const auto& head = collector_->head();
    configuration_candidate candidate{head.generation, head.token, head.hash, std::move(*body),
                                      std::string(platform_source)};
    collector_.reset();
    return candidate;
}

std::optional<time_point> configuration_watch::next_wakeup() const {
    std::optional<time_point> next;
    if (watching_ && !watch_.open) {
        next = watch_.due;
    }
    if (!read_.open && read_.due && (!next || *read_.due < *next)) {
        next = read_.due;
    }
    return next;
}

} // namespace skylarkseam
