// Searchers of the simulated world that end and start again.
#include "gateway_world.hpp"

namespace skylarkseam::testing {

void gateway_world::for_each_host(const std::function<void(directory& searchers)>& change) {
    for (std::uint32_t n = 0; n < hosts.size(); ++n) {
        std::vector<gateway_output> out;
        change(hosts[n]->searchers());
        hosts[n]->on_searchers_changed(now, out);
        perform(n, out);
    }
}

void gateway_world::set_evacuated(const std::set<std::string>& zones) {
    for_each_host([&](directory& known) { known.set_evacuated(zones, now); });
}

void gateway_world::report(const searcher_record& record) {
    for_each_host([&](directory& known) { known.put(record, now); });
}

void gateway_world::crash(model_searcher& it) {
    constexpr duration lapse_time = milliseconds(2400);
    it.ended = true;
    it.running = 0;
    it.queued.clear();
    std::vector<std::shared_ptr<in_flight_attempt>> lost;
    for (const auto& [key, attempt] : in_flight_) {
        if (attempt->target == &it && attempt->arrived && !attempt->cancelled) {
            lost.push_back(attempt);
        }
    }
    for (const auto& attempt : lost) {
        attempt_result result;
        result.connection_lost = true;
        reply(it, attempt, result);
    }
    after(lapse_time, [this, id = it.record.id] {
        for_each_host([&](directory& known) { known.remove(id, false, now); });
    });
    after(down_time, [this, &it] { start_again(it); });
}

void gateway_world::check(std::uint32_t host, const gateway_action::check_searcher& action) {
    const auto& target = *by_address_.at(action.address);
    const auto way = link(host, target);
    const auto finish = [this, host, &target, id = action.id](duration delay, check_result result) {
        gateway_event::searcher_checked checked{id, result};
        if (result == check_result::answered) {
            checked.answer = attempt_result{};
            checked.answer->outcome =
                target.behaviour.back_off ? attempt_outcome::refused : attempt_outcome::answered;
            checked.answer->back_off = target.behaviour.back_off;
            checked.answer->searcher_leaving = target.behaviour.leaving;
        }
        after(delay, [this, host, checked] { handle(host, checked); });
    };
    const bool muted = links[host] == upstream_links::mute || links[host] == upstream_links::resetting;
    if (muted) {
        const auto asked = !action.liveness_path.empty();
        finish(asked ? action.answer_timeout : 2 * way,
               asked ? check_result::silent : check_result::accepted);
    } else if (links[host] == upstream_links::hanging || target.behaviour.unreachable) {
        finish(action.timeout, check_result::no_answer);
    } else if (links[host] == upstream_links::refused) {
        finish(2 * way, check_result::refused);
    } else {
        after(way, [finish, way, &target, action] {
            const auto success =
                action.liveness_path.empty() ? check_result::accepted : check_result::answered;
            finish(way, target.ended ? check_result::refused : success);
        });
    }
}

void gateway_world::pass_on_suspects(std::uint32_t host) {
    const auto& suspects = hosts[host]->suspects();
    const auto reports = suspects.reports_since(passed_on_[host], now);
    passed_on_[host] = suspects.sequence();
    if (reports.empty() || !report_time) {
        return;
    }
    after(*report_time, [this, host, reports] {
        for (std::uint32_t n = 0; n < hosts.size(); ++n) {
            if (n != host) {
                std::vector<gateway_output> out;
                hosts[n]->merge_suspects(reports, now, out);
                perform(n, out);
            }
        }
    });
}

void gateway_world::start_again(model_searcher& it) {
    it.ended = false;
    ++it.start;
    it.record.id = it.record.id.substr(0, it.record.id.find('+')) + "+" + std::to_string(it.start);
    ++it.record.started_at;
    for_each_host([&](directory& known) { known.put(it.record, now); });
}

} // namespace skylarkseam::testing
