#include "spread_world.hpp"

#include <algorithm>

namespace skylarkseam::testing {
namespace {

constexpr duration step = milliseconds(20);
constexpr duration store_latency = milliseconds(6);
constexpr duration store_reset_latency = milliseconds(2);
constexpr duration zone_latency = microseconds(300);
constexpr duration region_latency = milliseconds(20);
constexpr const char* configuration_name = "main";

store_value table_of(std::uint64_t version) {
    auto table = std::make_shared<routing_table>();
    table->version = version;
    return std::shared_ptr<const routing_table>(std::move(table));
}

} // namespace

spread_world::spread_world(std::size_t zones, std::size_t hosts_per_zone, duration bound)
    : timing_(peer_timing::within(bound)) {
    const auto name_of_host = [](std::size_t zone, std::size_t n) {
        return std::string(1, static_cast<char>('a' + zone)) + std::to_string(100 + n);
    };
    std::vector<std::string> seeds;
    for (std::size_t zone = 0; zone < std::min<std::size_t>(zones, 3); ++zone) {
        seeds.push_back(name_of_host(zone, 0));
    }
    std::uint64_t epoch = 0;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        auto& list = hosts_.emplace_back();
        for (std::size_t n = 0; n < hosts_per_zone; ++n) {
            auto it = std::make_unique<spread_host>();
            const auto name = name_of_host(zone, n);
            it->who = {name, std::string(1, static_cast<char>('a' + zone)), name};
            it->group = std::make_unique<peer_group>(it->who, seeds, timing_, true, now_);
            it->polls = std::make_unique<follower_polls>(timing_);
            it->follower = std::make_unique<store_follower>(store_timing::for_peers(timing_), ++epoch);
            it->follower->set_scope(store_scope::nothing, {}, now_);
            it->known = std::make_unique<store_replica>(epoch);
            by_address_[name] = it.get();
            list.push_back(std::move(it));
        }
    }
    changes_.push_back(
        {store_kind::routing,
         revision_,
         {configuration_name, revision_, false, table_of(version_), std::to_string(version_)}});
}

void spread_world::for_each(const std::function<void(spread_host&)>& action) {
    for (auto& zone : hosts_) {
        for (auto& it : zone) {
            action(*it);
        }
    }
}

void spread_world::run_for(duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += step) {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        answer_parked();
        for_each([this](spread_host& it) {
            if (it.runs()) {
                turn(it);
            }
        });
    }
}

void spread_world::change_configuration() {
    ++version_;
    ++revision_;
    changed_at_ = now_;
    changes_.push_back(
        {store_kind::routing,
         revision_,
         {configuration_name, revision_, false, table_of(version_), std::to_string(version_)}});
    answer_parked();
}

void spread_world::evacuate(const std::string& zone) {
    ++revision_;
    evacuated_at_ = now_;
    changes_.push_back(
        {store_kind::evacuations, revision_, {zone, revision_, false, zone_evacuation{zone}, {}}});
    answer_parked();
}

void spread_world::report(const std::string& searcher) {
    ++revision_;
    reported_at_[searcher] = now_;
    searcher_record record;
    record.id = searcher;
    record.service = "desk";
    record.cold_for = seconds(3);
    changes_.push_back({store_kind::searchers, revision_, {searcher, revision_, false, record, {}}});
    answer_parked();
}

void spread_world::limit_cold_rates() {
    for_each([](spread_host& it) { it.group->set_second_source(true); });
}

void spread_world::kill(spread_host& it) {
    it.killed = true;
}

void spread_world::turn(spread_host& it) {
    std::vector<peer_call> calls;
    it.group->take_calls(now_, calls);
    for (const auto& call : calls) {
        call_peer(it, call);
    }
    it.follower->set_relaxed_retry(it.group->has_predecessor());
    const bool watch = it.group->should_watch_store(it.known->confirmed(), now_);
    const bool second = it.known->complete() && it.group->is_second_source(now_);
    const auto scope = second ? store_scope::searchers : store_scope::nothing;
    it.follower->set_scope(watch ? store_scope::everything : scope, it.known->revisions(), now_);
    run_store_calls(it);
    answer_polls(it);
}

void spread_world::run_store_calls(spread_host& it) {
    std::vector<store_call> calls;
    it.follower->take_calls(now_, calls);
    for (const auto& call : calls) {
        ++it.store_calls;
        send(it, call);
    }
}

void spread_world::send(spread_host& it, const store_call& call) {
    switch (it.mute || it.deaf ? store_access::silent : it.access) {
    case store_access::refused:
        at(now_ + store_reset_latency, [this, &it, kind = call.kind] { deliver(it, kind, {}); });
        return;
    case store_access::silent:
        at(now_ + call.timeout, [this, &it, kind = call.kind] { deliver(it, kind, {}); });
        return;
    case store_access::served:
        at(now_ + way_to_store(it), [this, &it, call] { serve(it, call); });
        return;
    }
}

void spread_world::serve(spread_host& it, const store_call& call) {
    const bool news = std::any_of(changes_.begin(), changes_.end(), [&](const auto& one) {
        return one.kind == call.kind && one.revision > call.revision;
    });
    if (call.watch && !news && call.wait > duration::zero()) {
        parked_.push_back({&it, call, now_ + call.wait});
        return;
    }
    at(now_ + way_to_store(it),
       [this, &it, call, answer = answer_to(call)] { deliver(it, call.kind, answer); });
}

store_answer spread_world::answer_to(const store_call& call) const {
    store_answer answer;
    answer.status = store_status::ok;
    answer.page.revision = revision_;
    for (const auto& one : changes_) {
        if (one.kind == call.kind && (!call.watch || one.revision > call.revision)) {
            answer.page.entries.push_back(one.entry);
        }
    }
    return answer;
}

void spread_world::answer_parked() {
    auto parked = std::exchange(parked_, {});
    for (auto& it : parked) {
        const bool cut = it.host->access != store_access::served || it.host->deaf;
        if (cut) {
            // The answer is lost; what the host sees is the end of its connection, or nothing.
            const bool silent = it.host->access == store_access::silent || it.host->deaf;
            const auto when = silent ? it.until - it.call.wait + it.call.timeout : now_;
            at(when, [this, host = it.host, kind = it.call.kind] { deliver(*host, kind, {}); });
            continue;
        }
        if (now_ < it.until && answer_to(it.call).page.entries.empty()) {
            parked_.push_back(std::move(it));
            continue;
        }
        at(now_ + way_to_store(*it.host),
           [this, host = it.host, call = it.call, answer = answer_to(it.call)] {
               deliver(*host, call.kind, answer);
           });
    }
}

void spread_world::deliver(spread_host& it, store_kind kind, store_answer answer) {
    if (it.killed) {
        return;
    }
    if (it.frozen) {
        at(now_ + step, [this, &it, kind, answer] { deliver(it, kind, answer); });
        return;
    }
    std::vector<store_output> events;
    it.follower->take_answer(kind, std::move(answer), now_, events);
    for (auto& event : events) {
        if (auto* const changed = std::get_if<store_event::entry_changed>(&event)) {
            if (changed->kind == store_kind::routing) {
                const auto& table = std::get<std::shared_ptr<const routing_table>>(changed->entry.value);
                take_routing(it, {table->version, changed->entry.text});
            } else if (changed->kind == store_kind::searchers) {
                const auto& record = std::get<searcher_record>(changed->entry.value);
                const registration reported{record.id, changed->entry.revision, record, false};
                if (it.known->apply(reported)) {
                    note_reports(it, {reported});
                }
            } else {
                it.known->apply(evacuation{changed->entry.name, changed->entry.revision, true});
            }
        } else if (const auto* const listed = std::get_if<store_event::listed>(&event)) {
            it.known->advance(listed->kind, listed->revision);
            it.known->confirm(listed->kind, now_);
        } else if (const auto* const confirmed = std::get_if<store_event::confirmed>(&event)) {
            it.known->advance(confirmed->kind, confirmed->revision);
            it.known->confirm(confirmed->kind, now_);
        }
    }
    note_evacuations(it);
    answer_polls(it);
    run_store_calls(it);
}

void spread_world::take_routing(spread_host& it, const routing_source& source) {
    if (it.known->apply(source)) {
        it.versions[source.version] = now_;
    }
}

void spread_world::note_reports(spread_host& it, const std::vector<registration>& changes) {
    for (const auto& one : changes) {
        it.reported_at[one.id] = now_;
    }
}

void spread_world::note_evacuations(spread_host& it) {
    if (!it.evacuated_at && !it.known->evacuated_zones().empty()) {
        it.evacuated_at = now_;
    }
}

std::optional<duration> spread_world::time_in_force() {
    duration longest{};
    bool everywhere = true;
    for_each([&](spread_host& it) {
        const auto found = it.versions.find(version_);
        if (it.access != store_access::served || !it.runs()) {
            return;
        }
        everywhere = everywhere && found != it.versions.end();
        if (found != it.versions.end()) {
            longest = std::max(longest, found->second - changed_at_);
        }
    });
    return everywhere ? std::optional(longest) : std::nullopt;
}

std::optional<duration> spread_world::time_evacuated() {
    duration longest{};
    bool everywhere = true;
    for_each([&](spread_host& it) {
        if (it.access != store_access::served || !it.runs()) {
            return;
        }
        everywhere = everywhere && it.evacuated_at.has_value();
        if (it.evacuated_at) {
            longest = std::max(longest, *it.evacuated_at - evacuated_at_);
        }
    });
    return everywhere ? std::optional(longest) : std::nullopt;
}

std::optional<duration> spread_world::time_reported(const spread_host& it, const std::string& searcher) {
    const auto found = it.reported_at.find(searcher);
    const auto when = reported_at_.at(searcher);
    return found != it.reported_at.end() && found->second >= when ? std::optional(found->second - when)
                                                                  : std::nullopt;
}

std::uint64_t spread_world::store_calls() {
    std::uint64_t n = 0;
    for_each([&](spread_host& it) { n += it.store_calls; });
    return n;
}

spread_host* spread_world::at_address(const std::string& address) {
    const auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
}

duration spread_world::way_to_store(const spread_host& it) {
    return store_latency / 2 + it.extra_delay;
}

duration spread_world::latency(const spread_host& a, const spread_host& b) {
    return (a.who.zone == b.who.zone ? zone_latency : region_latency) + a.extra_delay + b.extra_delay;
}

} // namespace skylarkseam::testing
