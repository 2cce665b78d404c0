#include <skylarkseam/control/claim_record.hpp>
#include <skylarkseam/control/retirement.hpp>
#include <skylarkseam/control/singleton_task.hpp>

#include <string_view>

namespace skylarkseam {
namespace {

constexpr std::string_view clock_kind = "system";
constexpr std::string_view clock_name = "version_clock";

platform_request clock_request(platform_method method) {
    platform_request request;
    request.method = method;
    request.kind = clock_kind;
    request.name = clock_name;
    return request;
}

} // namespace

retirement::retirement(std::string self, std::vector<std::string> kinds, retirement_settings settings)
    : self_(std::move(self))
    , kinds_(std::move(kinds))
    , settings_(settings) {}

void retirement::pass_time(time_point now, std::vector<platform_call>& out) {
    if (!wakeup_ || now < *wakeup_) {
        return;
    }
    wakeup_.reset();
    if (!kinds_to_list_.empty() || !pending_changes_.empty()) {
        return next_step(now, out);
    }
    start_round(now, out);
}

/// Starts a sweep if it is due, and reads the version clock if this node sweeps or maintains the clock.
void retirement::start_round(time_point now, std::vector<platform_call>& out) {
    if (now >= next_sweep_) {
        next_sweep_ = now + settings_.sweep_interval;
        for (const auto& it : kinds_) {
            if (singleton_task_owner(members_, it) == self_) {
                kinds_to_list_.push_back(it);
            }
        }
    }
    if (kinds_to_list_.empty() && singleton_task_owner(members_, clock_name) != self_) {
        wakeup_ = now + settings_.clock_interval;
        return;
    }
    call(step::reading_clock, clock_request(platform_method::get), out);
}

void retirement::call(step next, platform_request request, std::vector<platform_call>& out) {
    step_ = next;
    out.push_back({++last_call_, std::move(request)});
}

void retirement::handle(const platform_answer& event, time_point now, std::vector<platform_call>& out) {
    if (event.id != last_call_) {
        return;
    }
    const auto answered_step = step_;
    step_ = step::idle;
    switch (answered_step) {
    case step::reading_clock:
        return on_clock_read(event.response, now, out);
    case step::writing_clock:
        return on_clock_written(event.response, now, out);
    case step::listing:
        on_list(event.response);
        break;
    case step::changing:
        break; // the next sweep finds the object of a failed change again
    case step::idle:
        return;
    }
    next_step(now, out);
}

void retirement::on_clock_read(const platform_response& response, time_point now,
                               std::vector<platform_call>& out) {
    const bool updates_clock = singleton_task_owner(members_, clock_name) == self_;
    if (response.status == platform_status::not_found && updates_clock) {
        auto request = clock_request(platform_method::create);
        request.value_json = version_clock().encode();
        return call(step::writing_clock, std::move(request), out);
    }
    if (response.status != platform_status::ok || response.objects.empty()) {
        return next_step(now, out);
    }
    const auto& object = response.objects.front();
    clock_ = version_clock::decode(object.value_json).value_or(version_clock());
    if (object.version != clock_version_) {
        clock_version_ = object.version;
        clock_seen_ = now;
        return next_step(now, out);
    }
    if (!updates_clock || now < clock_seen_ + settings_.clock_interval) {
        return next_step(now, out);
    }
    auto next = clock_;
    next.advance(version_number(clock_version_), now - clock_seen_);
    auto request = clock_request(platform_method::update);
    request.version = clock_version_;
    request.value_json = next.encode();
    call(step::writing_clock, std::move(request), out);
}

void retirement::on_clock_written(const platform_response& response, time_point now,
                                  std::vector<platform_call>& out) {
    if (response.status == platform_status::ok && !response.objects.empty()) {
        const auto& object = response.objects.front();
        clock_ = version_clock::decode(object.value_json).value_or(clock_);
        clock_version_ = object.version;
        clock_seen_ = now;
    }
    next_step(now, out);
}

void retirement::on_list(const platform_response& response) {
    if (response.status != platform_status::ok) {
        return;
    }
    ++counters_.lists;
    for (const auto& it : response.objects) {
        queue_change_if_due(it);
    }
}

/// Queues the removal or update that is due at an object's age, if any.
void retirement::queue_change_if_due(const platform_object& object) {
    const auto version = version_number(object.version);
    if (version == 0) {
        return;
    }
    platform_request request;
    request.kind = object.kind;
    request.name = object.name;
    request.version = object.version;
    auto claim = object.kind.starts_with("claims.") ? decode_claim(object.value_json) : std::nullopt;
    if (claim && claim->state == claim_state::unknown) {
        return;
    }
    if (claim && claim->state == claim_state::claimed) {
        if (version <= clock_.newest_version_aged(settings_.claim_grace)) {
            claim->state = claim_state::unknown;
            claim->detail = "its holder " + claim->holder + " did not report";
            request.method = platform_method::update;
            request.value_json = encode_claim(*claim);
            ++counters_.made_unknown;
            pending_changes_.push_back(std::move(request));
        }
        return;
    }
    if (version <= clock_.newest_version_aged(settings_.retention)) {
        request.method = platform_method::remove;
        ++counters_.retired;
        pending_changes_.push_back(std::move(request));
    }
}

void retirement::next_step(time_point now, std::vector<platform_call>& out) {
    if (step_ != step::idle) {
        return;
    }
    if (!pending_changes_.empty() && wakeup_.value_or(now) <= now) {
        auto request = std::move(pending_changes_.front());
        pending_changes_.pop_front();
        wakeup_ = now + settings_.change_interval;
        return call(step::changing, std::move(request), out);
    }
    if (!pending_changes_.empty()) {
        return;
    }
    if (!kinds_to_list_.empty()) {
        platform_request request;
        request.method = platform_method::list;
        request.kind = kinds_to_list_.front();
        kinds_to_list_.pop_front();
        return call(step::listing, std::move(request), out);
    }
    wakeup_ = now + settings_.clock_interval;
}

} // namespace skylarkseam
