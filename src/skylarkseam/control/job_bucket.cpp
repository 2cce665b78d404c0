#include <skylarkseam/control/job_bucket.hpp>
#include <skylarkseam/control/version_clock.hpp>

#include <set>

namespace skylarkseam {

job_bucket::job_bucket(std::string kind, job_bucket_settings settings)
    : kind_(std::move(kind))
    , settings_(settings) {}

std::optional<time_point> job_bucket::next_wakeup() const {
    return calling_ ? std::nullopt : std::optional(due_);
}

std::optional<platform_request> job_bucket::next_call(time_point now) {
    if (calling_ || now < due_) {
        return std::nullopt;
    }
    calling_ = true;
    listing_ = version_.empty() || now >= next_list_;
    due_ = now + settings_.watch_interval;
    platform_request request;
    request.kind = kind_;
    request.method = listing_ ? platform_method::list : platform_method::watch;
    if (!listing_) {
        request.version = version_;
        request.timeout_ms = to_ms(settings_.watch_time);
    }
    return request;
}

void job_bucket::handle(const platform_response& response, time_point now,
                        std::vector<bucket_change>& changes) {
    calling_ = false;
    if (response.status == platform_status::version_too_old) {
        version_.clear();
        return;
    }
    if (response.status != platform_status::ok) {
        return;
    }
    if (listing_) {
        next_list_ = now + settings_.list_interval;
        take_list(response, changes);
    } else {
        for (const auto& it : response.objects) {
            take_object(it, changes);
        }
    }
    if (!response.version.empty()) {
        version_ = response.version;
    }
}

void job_bucket::take_list(const platform_response& response, std::vector<bucket_change>& changes) {
    std::set<std::string> listed;
    for (const auto& it : response.objects) {
        listed.insert(it.name);
        take_object(it, changes);
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

void job_bucket::take_object(const platform_object& object, std::vector<bucket_change>& changes) {
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
