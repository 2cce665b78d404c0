#include "standin/object_store.hpp"

#include <utility>

namespace skylarkseam::standin {

const stored_object* object_store::find(const std::string& kind, const std::string& name) const {
    const auto it = objects_.find({kind, name});
    return it == objects_.end() ? nullptr : &it->second;
}

void object_store::record(stored_object object, time_point now) {
    history_.push_back({now, std::move(object)});
    if (history_.size() > limits_.history) {
        forgotten_upto_ = history_.front().object.version;
        history_.pop_front();
    }
}

store_answer object_store::create(const std::string& kind, const std::string& name, std::string value_json,
                                  time_point now) {
    if (value_json.size() > limits_.value_bytes) {
        return {store_status::too_large, {}};
    }
    if (const auto* existing = find(kind, name)) {
        return {store_status::conflict, *existing};
    }
    stored_object object{kind, name, ++version_, std::move(value_json)};
    objects_[{kind, name}] = object;
    record(object, now);
    return {store_status::created, std::move(object)};
}

store_answer object_store::update(const std::string& kind, const std::string& name, store_version expected,
                                  std::string value_json, time_point now) {
    if (value_json.size() > limits_.value_bytes) {
        return {store_status::too_large, {}};
    }
    const auto* existing = find(kind, name);
    if (existing == nullptr || existing->version != expected) {
        return {store_status::conflict, existing == nullptr ? stored_object{} : *existing};
    }
    stored_object object{kind, name, ++version_, std::move(value_json)};
    objects_[{kind, name}] = object;
    record(object, now);
    return {store_status::ok, std::move(object)};
}

store_answer object_store::remove(const std::string& kind, const std::string& name, store_version expected,
                                  time_point now) {
    const auto* existing = find(kind, name);
    if (existing == nullptr) {
        return {store_status::not_found, {}};
    }
    if (existing->version != expected) {
        return {store_status::conflict, *existing};
    }
    stored_object object{kind, name, ++version_, existing->value_json, true};
    objects_.erase({kind, name});
    record(object, now);
    return {store_status::ok, std::move(object)};
}

store_answer object_store::get(const std::string& kind, const std::string& name) const {
    const auto* existing = find(kind, name);
    if (existing == nullptr) {
        return {store_status::not_found, {}};
    }
    return {store_status::ok, *existing};
}

std::vector<stored_object> object_store::list(const std::string& kind) const {
    std::vector<stored_object> items;
    for (auto it = objects_.lower_bound({kind, ""}); it != objects_.end() && it->first.first == kind; ++it) {
        items.push_back(it->second);
    }
    return items;
}

std::optional<store_changes> object_store::changes_after(const std::string& kind, store_version after,
                                                         time_point visible_at) const {
    if (after < forgotten_upto_ || after > version_) {
        return std::nullopt;
    }
    store_changes found{after, {}};
    for (auto it = after - forgotten_upto_; it < history_.size(); ++it) {
        const auto& [made_at, object] = history_[it];
        if (made_at > visible_at) {
            break;
        }
        found.version = object.version;
        if (object.kind == kind) {
            found.items.push_back(object);
        }
    }
    return found;
}

} // namespace skylarkseam::standin
