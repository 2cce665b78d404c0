#include <skylarkseam/control/job_bucket.hpp>
#include <skylarkseam/control/version_clock.hpp>

#include <set>

namespace skylarkseam {

job_bucket::job_bucket(std::string kind, job_bucket_settings settings)
    : kind_(std::move(kind))
    , settings_(settings) {}

std::optional<time_point> job_bucket::next_wakeup() const {
    return call_pending_ ? std::nullopt : std::optional(next_call_at_);
}

std::optional<platform_request> job_bucket::next_call(time_point now) {
    if (call_pending_ || now < next_call_at_) {
        return std::nullopt;
    }
    call_pending_ = true;
    listing_ = version_.empty() || now >= next_list_;
    next_call_at_ = now + settings_.watch_interval;
    platform_request request;
    request.kind = kind_;
    request.method = listing_ ? platform_method::list : platform_method::watch;
    if (!listing_) {
        request.version = version_;
        request.timeout_ms = to_ms(settings_.watch_timeout);
    }
    return request;
}

void job_bucket::handle(const platform_response& response, time_point now,
                        std::vector<bucket_change>& changes) {
    call_pending_ = false;
    if (response.status == platform_status::version_too_old) {
        version_.clear();
        return;
    }
    if (response.status != platform_status::ok) {
        return;
    }
    if (listing_) {
        next_list_ = now + settings_.list_interval;
        apply_list(response, changes);
    } else {
        for (const auto& it : response.objects) {
            apply_object(it, changes);
        }
    }
    if (!response.version.empty()) {
        version_ = response.version;
    }
}

void job_bucket::apply_list(const platform_response& response, std::vector<bucket_change>& changes) {
    std::set<std::string> listed;
    for (const auto& it : response.objects) {
        listed.insert(it.name);
        apply_object(it, changes);
    }
    for (auto it = versions_.begin(); it != versions_.end();) {
        if (listed.contains(it->first)) {
            ++it;
            continue;
        }
        changes.push_back({it->first, it->second, "", true});
        it = versions_.erase(it);
    }
}

void job_bucket::apply_object(const platform_object& object, std::vector<bucket_change>& changes) {
    const auto known = versions_.find(object.name);
    const bool stale = known != versions_.end() &&
                       version_number(object.version) <= version_number(known->second) &&
                       (!object.deleted || object.version != known->second);
    if (stale) {
        return;
    }
    if (object.deleted) {
        versions_.erase(object.name);
    } else {
        versions_[object.name] = object.version;
    }
    changes.push_back({object.name, object.version, object.value_json, object.deleted});
}

} // namespace skylarkseam
