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
    version_.clear();
    watch_.due = watching ? std::optional(now) : std::nullopt;
    watch_.pause = {};
    read_.due = watch_.due;
}

void configuration_watch::read_soon(time_point now) {
    if (!read_.open && !read_.due) {
        read_.due = now;
    }
}

void configuration_watch::take_calls(time_point now, std::vector<call>& out) {
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
    request.method = version_.empty() ? platform_method::list : platform_method::watch;
    request.version = version_;
    request.timeout_ms = version_.empty() ? 0 : to_ms(options_.watch_timeout);
    return request;
}

result<std::optional<configuration_candidate>>
configuration_watch::take_answer(watch_call purpose, const platform_response& answer, generation_id in_force,
                                 time_point now) {
    if (purpose == watch_call::piece) {
        return take_piece(answer, now);
    }
    if (purpose == watch_call::watch) {
        take_watch_answer(answer, now);
    } else if (answered(answer)) {
        succeeded(read_, watching_ ? std::optional(now + options_.read_interval) : std::nullopt, now);
    } else {
        failed(read_, now);
    }
    const auto* head = answered(answer) ? find_head(answer) : nullptr;
    if (head == nullptr) {
        return std::optional<configuration_candidate>();
    }
    return take_head(*head, in_force);
}

void configuration_watch::take_watch_answer(const platform_response& answer, time_point now) {
    if (answered(answer)) {
        version_ = answer.version;
        succeeded(watch_, now, now);
        return;
    }
    if (answer.status == platform_status::version_too_old) {
        version_.clear();
    }
    failed(watch_, now);
}

void configuration_watch::succeeded(call_line& line, std::optional<time_point> due, time_point now) {
    line = {false, due, {}};
    heard_ = now;
}

void configuration_watch::failed(call_line& line, time_point now) {
    line.open = false;
    line.pause = std::clamp(line.pause * 2, options_.first_retry, options_.longest_retry);
    line.due = now + line.pause;
}

result<std::optional<configuration_candidate>> configuration_watch::take_head(const platform_object& object,
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
    return complete();
}

result<std::optional<configuration_candidate>>
configuration_watch::take_piece(const platform_response& answer, time_point now) {
    if (!collector_) {
        return std::optional<configuration_candidate>();
    }
    const auto added = collector_->add(answer, codec_);
    if (added.has_error()) {
        collector_.reset();
        if (!read_.open) {
            failed(read_, now);
        }
        return added.error();
    }
    return complete();
}

std::optional<configuration_candidate> configuration_watch::complete() {
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
