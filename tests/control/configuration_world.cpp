#include "configuration_world.hpp"

#include <skylarkseam/core/content_hash.hpp>

#include <algorithm>
#include <sstream>

namespace skylarkseam::testing {
namespace {

constexpr duration watch_poll = milliseconds(5);

std::string address_of(std::size_t n) {
    return "10.0." + std::to_string(n / 200) + '.' + std::to_string(n % 200) + ":7000";
}

/// Encodes a head as "GENERATION TOKEN HASH HISTORY... PIECES... : BODY".
std::string encode_plain_head(const configuration_head& head) {
    std::string text = std::to_string(head.generation) + ' ' + head.token + ' ' + head.hash;
    for (const auto& it : head.history) {
        text += ' ' + std::to_string(it.generation) + '=' + it.token;
    }
    for (const auto& it : head.pieces) {
        text += " piece=" + it;
    }
    return text + " : " + head.body;
}

result<configuration_head> decode_plain_head(std::string_view value) {
    configuration_head head;
    const auto colon = value.find(" : ");
    if (colon == std::string_view::npos) {
        return make_error(error_kind::invalid_configuration, "no head");
    }
    std::istringstream in{std::string(value.substr(0, colon))};
    in >> head.generation >> head.token >> head.hash;
    for (std::string word; in >> word;) {
        const auto equals = word.find('=');
        if (word.starts_with("piece=")) {
            head.pieces.push_back(word.substr(equals + 1));
        } else {
            head.history.push_back({std::stoull(word.substr(0, equals)), word.substr(equals + 1)});
        }
    }
    head.body = value.substr(colon + 3);
    return head;
}

result<std::shared_ptr<const configuration>> decode_plain_body(std::string_view body,
                                                               generation_id generation) {
    if (body.starts_with("bad")) {
        return make_error(error_kind::invalid_configuration, "a bad body");
    }
    auto config = std::make_shared<configuration>();
    config->generation = generation;
    return std::shared_ptr<const configuration>(std::move(config));
}

std::string encode_plain_body(const configuration& /*config*/) {
    return "body";
}

result<std::string> decode_plain_piece(std::string_view value) {
    return std::string(value);
}

std::string encode_plain_piece(std::string_view text) {
    return std::string(text);
}

platform_response make_response(platform_status status) {
    platform_response answer;
    answer.status = status;
    return answer;
}

} // namespace

const configuration_codec& plain_codec() {
    static constexpr configuration_codec codec{decode_plain_head, encode_plain_head,  decode_plain_body,
                                               encode_plain_body, decode_plain_piece, encode_plain_piece};
    return codec;
}

configuration_head plain_head(generation_id generation, const std::string& token, const std::string& body) {
    configuration_head head;
    head.generation = generation;
    head.token = token;
    head.hash = content_hash(body);
    head.body = body;
    return head;
}

platform_response fake_platform::answer(const platform_request& request, time_point now) {
    ++calls;
    if (faults.down) {
        return make_response(platform_status::unavailable);
    }
    if (faults.throttled) {
        return make_response(platform_status::throttled);
    }
    const bool is_write = request.method == platform_method::create ||
                          request.method == platform_method::update ||
                          request.method == platform_method::remove;
    auto answer = is_write ? write(request, now) : read(request, now);
    return faults.lose_answers ? make_response(platform_status::unavailable) : answer;
}

platform_object fake_platform::to_object(const key& name, const stored& it) {
    return {name.first, name.second, std::to_string(it.version), it.value, false};
}

platform_response fake_platform::write(const platform_request& request, time_point now) {
    const key name{request.kind, request.name};
    const auto found = objects_.find(name);
    const bool version_matches =
        request.method == platform_method::create
            ? found == objects_.end()
            : found != objects_.end() && std::to_string(found->second.version) == request.version;
    if (!version_matches) {
        return make_response(platform_status::conflict);
    }
    auto answer = make_response(platform_status::ok);
    if (request.method == platform_method::remove) {
        objects_.erase(found);
        return answer;
    }
    auto& it = objects_[name];
    it = {++version_, request.value_json, now};
    answer.objects.push_back(to_object(name, it));
    return answer;
}

platform_response fake_platform::read(const platform_request& request, time_point now) const {
    const auto& source = faults.stale_reads ? stale_snapshot_ : objects_;
    auto answer = make_response(platform_status::ok);
    if (request.method == platform_method::get) {
        const auto found = source.find({request.kind, request.name});
        if (found == source.end()) {
            return make_response(platform_status::not_found);
        }
        answer.objects.push_back(to_object(found->first, found->second));
        return answer;
    }
    const bool is_watch = request.method == platform_method::watch;
    const std::uint64_t after = is_watch ? std::stoull(request.version) : 0;
    std::uint64_t seen = after;
    for (const auto& it : source) {
        const bool visible = !is_watch || it.second.changed + faults.watch_lag <= now;
        if (it.first.first == request.kind && it.second.version > after && visible) {
            answer.objects.push_back(to_object(it.first, it.second));
            seen = std::max(seen, it.second.version);
        }
    }
    answer.version = std::to_string(seen);
    return answer;
}

bool fake_platform::has_changes(const platform_request& watch, time_point now) const {
    return faults.down || faults.throttled || !read(watch, now).objects.empty();
}

std::string fake_platform::value(const std::string& kind, const std::string& name) const {
    const auto found = objects_.find({kind, name});
    return found == objects_.end() ? std::string() : found->second.value;
}

world::world(world_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , nodes_(options_.nodes) {
    if (options_.codec == nullptr) {
        options_.codec = &plain_codec();
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        by_address_[address_of(n)] = n;
    }
}

void world::start(std::size_t n) {
    auto& it = nodes_[n];
    follower_options options;
    options.node = "node-" + std::to_string(n);
    options.address = address_of(n);
    options.seed = options_.seed * 1'000'003 + n + 7919 * ++it.incarnation;
    it.follower = std::make_unique<configuration_follower>(options, *options_.codec, now_);
    it.history.clear();
    it.wakeup.reset();
    std::vector<std::string> peers;
    for (const auto& entry : by_address_) {
        peers.push_back(entry.first);
    }
    it.follower->set_peers(std::move(peers), now_);
    schedule_wakeup(n);
}

void world::stop(std::size_t n) {
    nodes_[n].follower.reset();
    ++nodes_[n].incarnation;
}

void world::set_watching(std::size_t n, bool watching) {
    std::vector<follower_output> out;
    nodes_[n].follower->set_watching(watching, now_, out);
    perform(n, std::move(out));
}

generation_id world::generation(std::size_t n) const {
    const auto& it = nodes_[n].follower;
    return it == nullptr || it->in_force() == nullptr ? 0 : it->in_force()->generation;
}

bool world::all_have(generation_id wanted) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].follower != nullptr && generation(n) != wanted) {
            return false;
        }
    }
    return true;
}

void world::apply(generation_id generation, const std::string& body) {
    platform_request request;
    request.kind = configuration_kind;
    request.name = configuration_name;
    const auto before = platform.faults;
    platform.faults = {};
    const auto head = platform.answer(read_head_request(), now_);
    request.method = head.objects.empty() ? platform_method::create : platform_method::update;
    request.version = head.objects.empty() ? "" : head.objects.front().version;
    request.value_json =
        options_.codec->encode_head(plain_head(generation, "token-" + std::to_string(generation), body));
    platform.answer(request, now_);
    platform.faults = before;
}

void world::schedule(duration delay, std::function<void()> task) {
    queue_.push({now_ + delay, ++order_, std::move(task)});
}

bool world::step(time_point end) {
    if (queue_.empty() || queue_.top().at > end) {
        now_ = end;
        return false;
    }
    auto next = queue_.top();
    queue_.pop();
    now_ = next.at;
    next.task();
    return true;
}

void world::run(duration length) {
    const auto end = now_ + length;
    while (step(end)) {
    }
}

std::optional<duration> world::run_until_all_have(generation_id generation, duration longest) {
    const auto begin = now_;
    while (!all_have(generation)) {
        if (!step(begin + longest)) {
            return std::nullopt;
        }
    }
    return now_ - begin;
}

void world::perform(std::size_t n, std::vector<follower_output> out) {
    for (auto& it : out) {
        if (auto* platform_call = std::get_if<follower_action::call_platform>(&it)) {
            perform(n, *platform_call);
        } else if (auto* peer_call = std::get_if<follower_action::call_peer>(&it)) {
            perform(n, *peer_call);
        } else if (auto* in_force = std::get_if<follower_action::put_in_force>(&it)) {
            nodes_[n].history.push_back(in_force->config->generation);
            nodes_[n].in_force_at = now_;
        } else {
            nodes_[n].refusals.push_back(std::get<follower_action::report_refusal>(it).detail);
        }
    }
    schedule_wakeup(n);
}

void world::perform(std::size_t n, follower_action::call_platform& action) {
    const auto incarnation = nodes_[n].incarnation;
    if (action.request.method == platform_method::watch) {
        const auto until = now_ + milliseconds(action.request.timeout_ms);
        hold_watch(n, incarnation, action.id, std::move(action.request), until);
        return;
    }
    schedule(
        platform.faults.latency, [this, n, incarnation, id = action.id, request = std::move(action.request)] {
            deliver(n, incarnation, follower_event::platform_answered{id, platform.answer(request, now_)});
        });
}

void world::hold_watch(std::size_t n, std::uint64_t incarnation, follower_call_id id,
                       platform_request request, time_point until) {
    schedule(watch_poll, [this, n, incarnation, id, request = std::move(request), until] {
        if (now_ < until && !platform.has_changes(request, now_)) {
            hold_watch(n, incarnation, id, request, until);
            return;
        }
        deliver(n, incarnation, follower_event::platform_answered{id, platform.answer(request, now_)});
    });
}

void world::perform(std::size_t n, follower_action::call_peer& action) {
    const auto incarnation = nodes_[n].incarnation;
    const auto id = action.id;
    const auto peer = by_address_.at(action.address);
    count_traffic(n, peer, action.message);
    const bool passes = !connected || connected(n, peer);
    if (!passes || lost() || nodes_[peer].follower == nullptr) {
        schedule(action.timeout, [this, n, incarnation, id] {
            deliver(n, incarnation, follower_event::peer_answered{id, {}});
        });
        return;
    }
    schedule(latency(),
             [this, n, peer, incarnation, id, timeout = action.timeout, message = std::move(action.message)] {
                 std::optional<any_configuration_message> reply;
                 if (nodes_[peer].follower != nullptr) {
                     std::vector<follower_output> out;
                     reply = nodes_[peer].follower->answer_peer(message, now_, out);
                     perform(peer, std::move(out));
                 }
                 auto delay = latency();
                 if (!reply || lost()) {
                     reply.reset();
                     delay = timeout;
                 } else {
                     count_traffic(peer, n, *reply);
                 }
                 schedule(delay, [this, n, incarnation, id, reply = std::move(reply)] {
                     deliver(n, incarnation, follower_event::peer_answered{id, reply});
                 });
             });
}

void world::deliver(std::size_t n, std::uint64_t incarnation, follower_input event) {
    if (nodes_[n].follower == nullptr || nodes_[n].incarnation != incarnation) {
        return;
    }
    std::vector<follower_output> out;
    nodes_[n].follower->handle(std::move(event), now_, out);
    perform(n, std::move(out));
}

void world::schedule_wakeup(std::size_t n) {
    auto& it = nodes_[n];
    const auto due = std::max(now_, it.follower->next_wakeup());
    if (it.wakeup && *it.wakeup <= due) {
        return;
    }
    it.wakeup = due;
    schedule(due - now_, [this, n, due, incarnation = it.incarnation] {
        auto& woken_node = nodes_[n];
        if (woken_node.incarnation != incarnation || woken_node.wakeup != due) {
            return;
        }
        woken_node.wakeup.reset();
        deliver(n, incarnation, follower_event::time_passed{});
    });
}

void world::count_traffic(std::size_t a, std::size_t b, const any_configuration_message& message) {
    const auto bytes = options_.size_of ? options_.size_of(message) : 0;
    for (const auto n : {a, b}) {
        ++nodes_[n].messages;
        nodes_[n].bytes += bytes;
    }
}

bool world::lost() {
    constexpr std::uint32_t parts_per_million = 1'000'000;
    return random_(parts_per_million) < options_.loss * parts_per_million;
}

duration world::latency() {
    const auto span = static_cast<std::uint32_t>((options_.max_latency - options_.min_latency).count());
    return options_.min_latency + microseconds(random_(span + 1));
}

} // namespace skylarkseam::testing
