#include <skylarkseam/control/configuration_fetch.hpp>
#include <skylarkseam/control/configuration_follower.hpp>
#include <skylarkseam/control/configuration_watch.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {
namespace {

using configuration_message::digest;

constexpr std::size_t starting_sources = 3; ///< peers that a starting node hears before it takes their latest
constexpr std::size_t most_confirmations = 4096;
constexpr std::size_t parts_reply_bytes = 1'000'000; ///< of a reply with parts: well under a frame
constexpr std::uint32_t announcement_repeats = 2;    ///< to other peers, in times of the fan-out

} // namespace

struct configuration_follower::impl {
    /// Why a peer was called.
    enum class peer_call { compare, announce, fetch };

    struct open_call {
        std::optional<watch_call> platform; ///< nothing: a call to a peer
        peer_call purpose = peer_call::compare;
        std::string address;
        generation_id generation = 0; ///< announced, or to be fetched
    };

    impl(follower_options opts, const configuration_codec& codec, time_point start)
        : options(std::move(opts))
        , held(codec)
        , fetch(held)
        , watch({options.watch_timeout, options.read_interval, options.first_retry, options.longest_retry},
                codec)
        , random(options.seed)
        , started(start)
        , next_digest(start) {
        watch.read_soon(start);
    }

    // --- sources ---

    void learn_digest(const digest& it, time_point now, std::vector<follower_output>& out) {
        peers_heard = now;
        if (confirmed.size() < most_confirmations || confirmed.contains(it.node)) {
            confirmed[it.node] = it.generation;
        }
        if (it.generation == held.generation() && it.hash != held.hash()) {
            ++counters.refused_invalid;
            out.emplace_back(
                follower_action::report_refusal{it.address, "another body of the same generation"});
        }
        if (it.hash != refused_hash && fetch.offer(it.generation, it.address)) {
            call_fetch(out);
        }
    }

    /// Holds a first candidate back until enough sources have spoken, so that a starting node does not take
    /// new work under an older generation than the one before its start.
    void offer_candidate(configuration_candidate candidate, time_point now,
                         std::vector<follower_output>& out) {
        if (held.generation() > 0 || sources_suffice(now)) {
            install(std::move(candidate), out);
            return;
        }
        if (!waiting || waiting->generation < candidate.generation) {
            waiting = std::move(candidate);
        }
    }

    [[nodiscard]] bool sources_suffice(time_point now) const {
        const auto enough = std::min(starting_sources, peers.size());
        return watch.heard().has_value() || (enough > 0 && answering_peers.size() >= enough) ||
               now >= started + options.start_grace;
    }

    void release_waiting(time_point now, std::vector<follower_output>& out) {
        if (waiting && sources_suffice(now)) {
            auto candidate = std::move(*waiting);
            waiting.reset();
            install(std::move(candidate), out);
        }
    }

    void install(configuration_candidate candidate, std::vector<follower_output>& out) {
        auto source = candidate.source;
        auto hash = candidate.hash;
        const auto installed = held.install(std::move(candidate));
        if (installed.has_error()) {
            ++counters.refused_invalid;
            refused_hash = std::move(hash);
            out.emplace_back(follower_action::report_refusal{std::move(source), installed.error().detail});
            return;
        }
        if (!installed.value()) {
            ++counters.refused_lower;
            return;
        }
        ++counters.in_force;
        out.emplace_back(follower_action::put_in_force{held.config(), std::move(source)});
        announce(out);
    }

    // --- calls ---

    void call(const std::string& address, peer_call purpose, generation_id generation,
              any_configuration_message message, std::vector<follower_output>& out) {
        const auto id = ++last_call;
        calls.emplace(id, open_call{std::nullopt, purpose, address, generation});
        ++counters.peer_calls;
        out.emplace_back(follower_action::call_peer{id, address, std::move(message), options.peer_timeout});
    }

    [[nodiscard]] digest own_digest() const {
        return {options.node, options.address, held.generation(), held.hash()};
    }

    [[nodiscard]] std::vector<std::string> random_peers(std::size_t n) {
        std::set<std::size_t> picked;
        n = std::min(n, peers.size());
        while (picked.size() < n) {
            picked.insert(random(static_cast<std::uint32_t>(peers.size())));
        }
        std::vector<std::string> addresses;
        addresses.reserve(picked.size());
        for (const auto it : picked) {
            addresses.push_back(peers[it]);
        }
        return addresses;
    }

    void announce(std::vector<follower_output>& out) {
        repeats_left = options.fan_out * announcement_repeats;
        for (const auto& it : random_peers(options.fan_out)) {
            call(it, peer_call::announce, held.generation(), own_digest(), out);
        }
    }

    void compare(std::size_t n, std::vector<follower_output>& out) {
        for (const auto& it : random_peers(n)) {
            call(it, peer_call::compare, held.generation(), own_digest(), out);
        }
    }

    void repeat_announcement(const open_call& failed, std::vector<follower_output>& out) {
        if (failed.generation != held.generation() || repeats_left == 0) {
            return;
        }
        --repeats_left;
        for (const auto& it : random_peers(1)) {
            call(it, peer_call::announce, held.generation(), own_digest(), out);
        }
    }

    void call_fetch(std::vector<follower_output>& out) {
        fetch_call = last_call + 1;
        call(fetch.source(), peer_call::fetch, 0, fetch.request(), out);
    }

    void call_platform(time_point now, std::vector<follower_output>& out) {
        std::vector<configuration_watch::call> due;
        watch.take_calls(now, due);
        for (auto& it : due) {
            const auto id = ++last_call;
            calls.emplace(id, open_call{it.purpose, {}, {}, 0});
            ++counters.platform_calls;
            out.emplace_back(follower_action::call_platform{id, std::move(it.request)});
        }
    }

    // --- events ---

    void on_platform(const follower_event::platform_answered& event, time_point now,
                     std::vector<follower_output>& out) {
        const auto found = calls.extract(event.id);
        if (found.empty() || !found.mapped().platform) {
            return;
        }
        auto candidate = watch.take_answer(*found.mapped().platform, event.answer, held.generation(), now);
        if (candidate.has_error()) {
            ++counters.refused_invalid;
            out.emplace_back(follower_action::report_refusal{"platform", candidate.error().detail});
        } else if (candidate.value()) {
            offer_candidate(std::move(*candidate.value()), now, out);
        }
    }

    void on_peer(follower_event::peer_answered event, time_point now, std::vector<follower_output>& out) {
        const auto found = calls.extract(event.id);
        if (found.empty() || found.mapped().platform) {
            return;
        }
        const auto& ended = found.mapped();
        if (ended.purpose == peer_call::fetch) {
            on_fetch(event, now, out);
            return;
        }
        const auto* reply = event.reply ? std::get_if<digest>(&*event.reply) : nullptr;
        if (reply != nullptr) {
            answering_peers.insert(ended.address);
            learn_digest(*reply, now, out);
        } else if (ended.purpose == peer_call::announce) {
            repeat_announcement(ended, out);
        } else {
            compare(1, out);
        }
    }

    void on_fetch(follower_event::peer_answered& event, time_point now, std::vector<follower_output>& out) {
        if (event.id != fetch_call || !fetch.running()) {
            return;
        }
        const auto source = fetch.source();
        if (!event.reply) {
            fetch_if(fetch.retry(), out);
            return;
        }
        peers_heard = now;
        auto taken = fetch.take(std::move(*event.reply));
        if (taken.has_error()) {
            out.emplace_back(follower_action::report_refusal{source, taken.error().detail});
            fetch_if(fetch.next_source(), out);
        } else if (!taken.value()) {
            call_fetch(out);
        } else {
            fetch.stop();
            offer_candidate(std::move(*taken.value()), now, out);
        }
    }

    void fetch_if(bool more, std::vector<follower_output>& out) {
        if (more) {
            call_fetch(out);
        }
    }

    void on_time(time_point now, std::vector<follower_output>& out) {
        if (now < next_digest) {
            return;
        }
        const auto n = held.generation() == 0 ? starting_sources : 1;
        compare(n, out);
        next_digest = now + jittered(options.digest_interval);
        if (!watch.watching() && peers_silent(now) >= options.peer_silence && now >= next_lonely_read) {
            watch.read_soon(now);
            next_lonely_read = now + jittered(options.read_interval);
        }
    }

    /// Between 0.8 and 1.2 of `value`, so that nodes do not act in step.
    [[nodiscard]] duration jittered(duration value) {
        constexpr std::uint32_t steps = 401;
        constexpr std::int64_t least_per_mille = 800;
        constexpr std::int64_t per_mille = 1000;
        return value * (least_per_mille + random(steps)) / per_mille;
    }

    [[nodiscard]] duration peers_silent(time_point now) const { return now - peers_heard.value_or(started); }

    // --- peers' requests ---

    [[nodiscard]] configuration_message::parts
    find_parts(const configuration_message::parts_request& request) const {
        configuration_message::parts reply;
        std::size_t bytes = 0;
        for (const auto& it : request.parts) {
            const auto text = held.part(it);
            bytes += text.size();
            if (text.empty() || bytes > parts_reply_bytes) {
                break;
            }
            reply.texts.emplace_back(text);
        }
        return reply;
    }

    follower_options options;
    configuration_in_force held;
    configuration_fetch fetch;
    configuration_watch watch;
    pcg32 random;
    time_point started;
    time_point next_digest;
    time_point next_lonely_read{};
    std::vector<std::string> peers; ///< addresses, without this node's own
    std::map<follower_call_id, open_call> calls;
    follower_call_id last_call = 0;
    follower_call_id fetch_call = 0; ///< the only one whose answer the fetch takes
    std::uint32_t repeats_left = 0;
    std::string refused_hash; ///< of the latest body that failed its checks; not fetched again
    std::optional<configuration_candidate> waiting; ///< the first, until enough sources have spoken
    std::set<std::string> answering_peers;          ///< distinct ones that have answered since the start
    std::optional<time_point> peers_heard;
    std::map<std::string, generation_id> confirmed;
    follower_counters counters;
};

configuration_follower::configuration_follower(follower_options options, const configuration_codec& codec,
                                               time_point start)
    : impl_(std::make_unique<impl>(std::move(options), codec, start)) {}

configuration_follower::~configuration_follower() = default;

void configuration_follower::set_watching(bool watching, time_point now, std::vector<follower_output>& out) {
    impl_->watch.set_watching(watching, now);
    impl_->call_platform(now, out);
}

void configuration_follower::set_peers(std::vector<std::string> addresses, time_point now) {
    std::erase(addresses, impl_->options.address);
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    if (impl_->peers.empty()) {
        impl_->next_digest = std::min(impl_->next_digest, now);
    }
    impl_->peers = std::move(addresses);
}

void configuration_follower::handle(follower_input event, time_point now, std::vector<follower_output>& out) {
    if (const auto* platform = std::get_if<follower_event::platform_answered>(&event)) {
        impl_->on_platform(*platform, now, out);
    } else if (auto* peer = std::get_if<follower_event::peer_answered>(&event)) {
        impl_->on_peer(std::move(*peer), now, out);
    } else {
        impl_->on_time(now, out);
    }
    impl_->release_waiting(now, out);
    impl_->call_platform(now, out);
}

any_configuration_message configuration_follower::answer_peer(const any_configuration_message& request,
                                                              time_point now,
                                                              std::vector<follower_output>& out) {
    if (const auto* it = std::get_if<digest>(&request)) {
        auto reply = impl_->own_digest();
        if (!it->address.empty()) { // an operator's command asks without saying anything
            impl_->learn_digest(*it, now, out);
        }
        return reply;
    }
    if (const auto* it = std::get_if<configuration_message::parts_request>(&request)) {
        return impl_->find_parts(*it);
    }
    if (std::holds_alternative<configuration_message::manifest_request>(request)) {
        return impl_->held.manifest();
    }
    return configuration_message::peers{impl_->peers};
}

time_point configuration_follower::next_wakeup() const {
    auto next = impl_->next_digest;
    if (const auto due = impl_->watch.next_wakeup()) {
        next = std::min(next, *due);
    }
    if (impl_->waiting) {
        next = std::min(next, impl_->started + impl_->options.start_grace);
    }
    return next;
}

bool configuration_follower::cut_off(time_point now) const {
    const auto platform = impl_->watch.heard().value_or(impl_->started);
    const auto last = std::max(platform, impl_->peers_heard.value_or(impl_->started));
    return now - last > impl_->options.cut_off;
}

std::shared_ptr<const configuration> configuration_follower::in_force() const {
    return impl_->held.config();
}

follower_counters configuration_follower::counters() const {
    auto counters = impl_->counters;
    counters.refused_lower += impl_->watch.refused_lower();
    counters.parts_fetched = impl_->fetch.fetched();
    counters.parts_reused = impl_->fetch.reused();
    return counters;
}

follower_view configuration_follower::view(time_point now) const {
    follower_view view;
    view.generation = impl_->held.generation();
    view.hash = impl_->held.hash();
    view.token = impl_->held.token();
    view.watching = impl_->watch.watching();
    view.cut_off = cut_off(now);
    if (const auto heard = impl_->watch.heard()) {
        view.since_platform_answer = now - *heard;
    }
    if (impl_->peers_heard) {
        view.since_peer_message = now - *impl_->peers_heard;
    }
    view.confirmed = impl_->confirmed;
    return view;
}

} // namespace skylarkseam
