// The messages between the gateways of a spread_world: greetings, and polls at their two sources.
#include "spread_world.hpp"

#include <skylarkseam/wire/gateway_codec.hpp>

namespace skylarkseam::testing {

void spread_world::call_peer(spread_host& it, const peer_call& call) {
    auto* const other = at_address(call.address);
    const auto timeout = timing_.call_timeout;
    if (other == nullptr) {
        fail_peer_call(it, call, timeout);
        return;
    }
    if (other->killed) {
        fail_peer_call(it, call, 2 * latency(it, *other));
        return;
    }
    if (call.what == peer_call::kind::follow_second) {
        call_second(it, *other, call);
        return;
    }
    const auto view = it.group->view_for({}, now_);
    const auto delay = latency(it, *other);
    const bool passes_now = passes(it, *other);
    if (call.what == peer_call::kind::greet) {
        at(now_ + delay, [this, &it, other, call, view, delay, timeout, passes_now] {
            if (!passes_now || !passes(*other, it)) {
                fail_peer_call(it, call, timeout);
                return;
            }
            other->group->take_call(view, now_);
            const auto reply = other->group->view_for(it.who.zone, now_);
            at(now_ + delay, [this, &it, call, reply] { it.group->take_answer(call, reply, {}, now_); });
        });
        return;
    }
    it.polls_to_other_zones += it.who.zone != other->who.zone ? 1 : 0;
    const auto wait = timing_.follow_wait;
    const auto position = it.positions[call.address];
    it.bytes_sent += encode(follow_request{view, position, wait}).size();
    const auto id = ++it.last_poll;
    it.open_poll = id;
    at(now_ + delay, [this, &it, other, view, position, wait, id, passes_now] {
        if (passes_now && other->runs()) {
            take_poll(*other, view, {id, it.who, position, now_, now_ + wait});
        }
    });
    at(now_ + wait + timeout, [&it, this, call, id] {
        if (it.open_poll == id) {
            it.open_poll = 0;
            it.group->take_answer(call, std::nullopt, {}, now_);
        }
    });
}

void spread_world::call_second(spread_host& it, spread_host& source, const peer_call& call) {
    const auto position = it.known->searchers_known();
    const auto wait = timing_.second_wait;
    it.second_bytes_sent += encode(searchers_request{it.who, position, wait}).size();
    const auto id = ++it.last_poll;
    it.open_second_poll = id;
    if (passes(it, source)) {
        at(now_ + latency(it, source), [this, &it, &source, position, wait, id] {
            if (source.runs()) {
                take_second_poll(source, it, {id, position, now_ + wait});
            }
        });
    }
    at(now_ + wait + timing_.call_timeout, [&it, this, call, id] {
        if (it.open_second_poll == id) {
            it.open_second_poll = 0;
            it.group->take_answer(call, std::nullopt, {}, now_);
        }
    });
}

void spread_world::take_second_poll(spread_host& source, spread_host& from, const held_searcher_poll& poll) {
    source.group->take_call({from.who, false, {}, {}}, now_);
    // Polls of several hosts may have the same number.
    const auto key = ++last_second_poll_;
    source.second_followers[key] = {&from, poll.id};
    source.second_polls.add({key, poll.position, poll.until});
    answer_second_polls(source);
}

void spread_world::answer_second_polls(spread_host& source) {
    for (const auto& poll : source.second_polls.take_due(*source.known, now_)) {
        const auto [follower, id] = source.second_followers.extract(poll.id).mapped();
        const auto update = source.known->searchers_after(poll.position);
        source.second_bytes_sent += encode(update).size();
        if (!passes(source, *follower)) {
            continue;
        }
        at(now_ + latency(source, *follower),
           [this, to = follower, from = source.who.address, update, id = id] {
               if (to->open_second_poll != id || !to->runs()) {
                   return;
               }
               to->open_second_poll = 0;
               note_reports(*to, to->known->apply(update).registrations);
               const peer_call call{peer_call::kind::follow_second, from};
               to->group->take_answer(call, std::optional<group_view>(std::in_place), {}, now_);
               turn(*to);
           });
    }
}

void spread_world::fail_peer_call(spread_host& it, const peer_call& call, duration after) {
    at(now_ + after, [this, &it, call] {
        if (!it.killed) {
            it.group->take_answer(call, std::nullopt, {}, now_);
        }
    });
}

void spread_world::take_poll(spread_host& source, const group_view& view, held_poll poll) {
    source.group->take_call(view, now_);
    source.polls->add(std::move(poll));
    answer_polls(source);
}

source_state spread_world::as_source(const spread_host& it) const {
    const auto lost_at = it.follower->lost_at();
    return {it.known.get(), lost_at && *lost_at <= now_};
}

void spread_world::answer_polls(spread_host& source) {
    answer_second_polls(source);
    for (const auto& poll : source.polls->take_due(as_source(source), now_)) {
        answer_poll(source, poll);
    }
}

void spread_world::answer_poll(spread_host& source, const held_poll& poll) {
    auto* const follower = at_address(poll.follower.address);
    const auto update = follower_polls::answer_to(poll, as_source(source), now_);
    const auto view =
        source.group->view_for_follower(follower->who, poll.position.epoch == update.epoch, now_);
    const peer_call call{peer_call::kind::follow, source.who.address};
    source.bytes_sent += encode(follow_reply{view, update}).size();
    if (!passes(source, *follower) && !follower->frozen) {
        return;
    }
    at(now_ + latency(source, *follower), [this, follower, call, view, update, id = poll.id] {
        if (follower->open_poll == id && !follower->killed) {
            follower->open_poll = 0;
            take_update(*follower, call, view, update);
        }
    });
}

void spread_world::take_update(spread_host& it, const peer_call& call, const group_view& view,
                               const replica_update& update) {
    note_reports(it, it.known->apply(update).registrations);
    if (update.routing) {
        take_routing(it, *update.routing);
    }
    if (update.age != duration::max()) {
        it.known->confirm(now_ - update.age);
    }
    it.positions[call.address] = {update.epoch, update.sequence, it.known->routing().version, 0};
    note_evacuations(it);
    it.group->take_answer(call, view, update.age, now_);
    if (it.runs()) {
        turn(it);
    }
}

} // namespace skylarkseam::testing
