#include <skylarkseam/control/configuration_fetch.hpp>
#include <skylarkseam/control/configuration_follower.hpp>
#include <skylarkseam/control/configuration_watch.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <set>

namespace skylarkseam {
namespace {

using configuration_message::digest;

constexpr std::size_t startup_sources = 3; ///< Number of answering peers that allows the first installation.
constexpr std::size_t max_confirmed_nodes = 4096;
constexpr std::size_t max_parts_reply_bytes = 1'000'000; ///< Limit well below the maximum frame size.
constexpr std::uint32_t announcement_retry_rounds = 2;   ///< Limit of retries, in multiples of the fan-out.

} // namespace

struct configuration_follower::impl {
    /// Purpose of a call to a peer.
    enum class peer_call { compare, announce, fetch };

    struct outstanding_call {
        std::optional<watch_call> platform; ///< Purpose of a call to the platform, if it is one.
        peer_call purpose = peer_call::compare;
        std::string address;
        generation_id generation = 0; ///< Generation in the digest that is sent.
    };

    impl(follower_options opts, const configuration_codec& codec, time_point start)
        : options(std::move(opts))
        , active(codec)
        , fetch(active)
        , watch({options.watch_timeout, options.read_interval, options.retry_pause, options.max_retry_pause},
                codec)
        , random(options.seed)
        , started(start)
        , next_digest(start) {
        watch.request_read(start);
    }

    // --- sources ---

    void handle_digest(const digest& it, time_point now, std::vector<follower_output>& out) {
        peer_contact = now;
        if (confirmed.size() < max_confirmed_nodes || confirmed.contains(it.node)) {
            confirmed[it.node] = it.generation;
        }
        if (it.generation == active.generation() && it.hash != active.hash()) {
            ++counters.refused_invalid;
            out.emplace_back(follower_action::report_refusal{
                it.address, "the peer has a different body for the generation in force"});
        }
        if (it.hash != rejected_hash && fetch.add_source(it.generation, it.address)) {
            call_fetch(out);
        }
    }

    /// Defers the first candidate until enough sources have answered. Otherwise a restarted node could take
    /// new work under an older generation than before its restart.
    void install_or_defer(configuration_candidate candidate, time_point now,
                          std::vector<follower_output>& out) {
        if (active.generation() > 0 || enough_sources_answered(now)) {
            install(std::move(candidate), out);
            return;
        }
        if (!deferred || deferred->generation < candidate.generation) {
            deferred = std::move(candidate);
        }
    }

    [[nodiscard]] bool enough_sources_answered(time_point now) const {
        const auto required = std::min(startup_sources, peers.size());
        return watch.last_answer_at().has_value() || (required > 0 && answered_peers.size() >= required) ||
               now >= started + options.max_startup_wait;
    }

    void install_deferred(time_point now, std::vector<follower_output>& out) {
        if (deferred && enough_sources_answered(now)) {
            auto candidate = std::move(*deferred);
            deferred.reset();
            install(std::move(candidate), out);
        }
    }

    void install(configuration_candidate candidate, std::vector<follower_output>& out) {
        auto source = candidate.source;
        auto hash = candidate.hash;
        const auto installed = active.install(std::move(candidate));
        if (installed.has_error()) {
            ++counters.refused_invalid;
            rejected_hash = std::move(hash);
            out.emplace_back(follower_action::report_refusal{std::move(source), installed.error().detail});
            return;
        }
        if (!installed.value()) {
            ++counters.refused_lower;
            return;
        }
        ++counters.in_force;
        out.emplace_back(follower_action::put_in_force{active.config(), std::move(source)});
        announce(out);
    }

    // --- calls ---

    void call(const std::string& address, peer_call purpose, generation_id generation,
              any_configuration_message message, std::vector<follower_output>& out) {
        const auto id = ++last_call;
        calls.emplace(id, outstanding_call{std::nullopt, purpose, address, generation});
        ++counters.peer_calls;
        out.emplace_back(follower_action::call_peer{id, address, std::move(message), options.peer_timeout});
    }

    [[nodiscard]] digest own_digest() const {
        return {options.node, options.address, active.generation(), active.hash()};
    }

    [[nodiscard]] std::vector<std::string> pick_random_peers(std::size_t n) {
        std::set<std::size_t> chosen;
        n = std::min(n, peers.size());
        while (chosen.size() < n) {
            chosen.insert(random(static_cast<std::uint32_t>(peers.size())));
        }
        std::vector<std::string> addresses;
        addresses.reserve(chosen.size());
        for (const auto it : chosen) {
            addresses.push_back(peers[it]);
        }
        return addresses;
    }

    void announce(std::vector<follower_output>& out) {
        announcement_retries_left = options.fan_out * announcement_retry_rounds;
        for (const auto& it : pick_random_peers(options.fan_out)) {
            call(it, peer_call::announce, active.generation(), own_digest(), out);
        }
    }

    void compare(std::size_t n, std::vector<follower_output>& out) {
        for (const auto& it : pick_random_peers(n)) {
            call(it, peer_call::compare, active.generation(), own_digest(), out);
        }
    }

    void retry_announcement(const outstanding_call& failed, std::vector<follower_output>& out) {
        if (failed.generation != active.generation() || announcement_retries_left == 0) {
            return;
        }
        --announcement_retries_left;
        for (const auto& it : pick_random_peers(1)) {
            call(it, peer_call::announce, active.generation(), own_digest(), out);
        }
    }

    void call_fetch(std::vector<follower_output>& out) {
        fetch_call = last_call + 1;
        call(fetch.source(), peer_call::fetch, 0, fetch.request(), out);
    }

    void call_platform(time_point now, std::vector<follower_output>& out) {
        std::vector<configuration_watch::call> due;
        watch.take_due_calls(now, due);
        for (auto& it : due) {
            const auto id = ++last_call;
            calls.emplace(id, outstanding_call{it.purpose, {}, {}, 0});
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
        auto candidate = watch.on_answer(*found.mapped().platform, event.answer, active.generation(), now);
        if (candidate.has_error()) {
            ++counters.refused_invalid;
            out.emplace_back(follower_action::report_refusal{"platform", candidate.error().detail});
        } else if (candidate.value()) {
            install_or_defer(std::move(*candidate.value()), now, out);
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
            answered_peers.insert(ended.address);
            handle_digest(*reply, now, out);
        } else if (ended.purpose == peer_call::announce) {
            retry_announcement(ended, out);
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
            continue_fetch(fetch.retry(), out);
            return;
        }
        peer_contact = now;
        auto taken = fetch.handle_reply(std::move(*event.reply));
        if (taken.has_error()) {
            out.emplace_back(follower_action::report_refusal{source, taken.error().detail});
            continue_fetch(fetch.skip_source(), out);
        } else if (!taken.value()) {
            call_fetch(out);
        } else {
            fetch.stop();
            install_or_defer(std::move(*taken.value()), now, out);
        }
    }

    void continue_fetch(bool more, std::vector<follower_output>& out) {
        if (more) {
            call_fetch(out);
        }
    }

    void on_time(time_point now, std::vector<follower_output>& out) {
        if (now < next_digest) {
            return;
        }
        const auto n = active.generation() == 0 ? startup_sources : 1;
        compare(n, out);
        next_digest = now + jittered(options.digest_interval);
        if (!watch.watching() && peer_silence(now) >= options.max_peer_silence && now >= next_fallback_read) {
            watch.request_read(now);
            next_fallback_read = now + jittered(options.read_interval);
        }
    }

    /// Multiplies `value` by a random factor from 0.8 to 1.2, so that nodes do not act at the same time.
    [[nodiscard]] duration jittered(duration value) {
        constexpr std::uint32_t steps = 401;
        constexpr std::int64_t min_per_mille = 800;
        constexpr std::int64_t per_mille = 1000;
        return value * (min_per_mille + random(steps)) / per_mille;
    }

    [[nodiscard]] duration peer_silence(time_point now) const { return now - peer_contact.value_or(started); }

    // --- requests from peers ---

    [[nodiscard]] configuration_message::parts
    find_parts(const configuration_message::parts_request& request) const {
        configuration_message::parts reply;
        std::size_t bytes = 0;
        for (const auto& it : request.parts) {
            const auto text = active.part(it);
            bytes += text.size();
            if (text.empty() || bytes > max_parts_reply_bytes) {
                break;
            }
            reply.texts.emplace_back(text);
        }
        return reply;
    }

    follower_options options;
    configuration_in_force active;
    configuration_fetch fetch;
    configuration_watch watch;
    pcg32 random;
    time_point started;
    time_point next_digest;
    time_point next_fallback_read{};
    std::vector<std::string> peers; ///< Addresses of the other nodes.
    std::map<follower_call_id, outstanding_call> calls;
    follower_call_id last_call = 0;
    follower_call_id fetch_call = 0; ///< Latest call of the fetch; replies to earlier ones are ignored.
    std::uint32_t announcement_retries_left = 0;
    std::string rejected_hash; ///< Hash of the last invalid body, which is not fetched again.
    std::optional<configuration_candidate> deferred; ///< First candidate, not installed yet.
    std::set<std::string> answered_peers;            ///< Peers that have answered since the start.
    std::optional<time_point> peer_contact;          ///< Time of the last message from a peer.
    std::map<std::string, generation_id> confirmed;  ///< Last reported generation, by node.
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
    impl_->install_deferred(now, out);
    impl_->call_platform(now, out);
}

any_configuration_message configuration_follower::answer_peer(const any_configuration_message& request,
                                                              time_point now,
                                                              std::vector<follower_output>& out) {
    if (const auto* it = std::get_if<digest>(&request)) {
        auto reply = impl_->own_digest();
        if (!it->address.empty()) { // A digest without address comes from the command line.
            impl_->handle_digest(*it, now, out);
        }
        return reply;
    }
    if (const auto* it = std::get_if<configuration_message::parts_request>(&request)) {
        return impl_->find_parts(*it);
    }
    if (std::holds_alternative<configuration_message::manifest_request>(request)) {
        return impl_->active.manifest();
    }
    return configuration_message::peers{impl_->peers};
}

time_point configuration_follower::next_wakeup() const {
    auto next = impl_->next_digest;
    if (const auto due = impl_->watch.next_wakeup()) {
        next = std::min(next, *due);
    }
    if (impl_->deferred) {
        next = std::min(next, impl_->started + impl_->options.max_startup_wait);
    }
    return next;
}

bool configuration_follower::cut_off(time_point now) const {
    const auto platform = impl_->watch.last_answer_at().value_or(impl_->started);
    const auto last = std::max(platform, impl_->peer_contact.value_or(impl_->started));
    return now - last > impl_->options.cut_off_after;
}

std::shared_ptr<const configuration> configuration_follower::in_force() const {
    return impl_->active.config();
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
    view.generation = impl_->active.generation();
    view.hash = impl_->active.hash();
    view.token = impl_->active.token();
    view.watching = impl_->watch.watching();
    view.cut_off = cut_off(now);
    if (const auto answered_at = impl_->watch.last_answer_at()) {
        view.since_platform_answer = now - *answered_at;
    }
    if (impl_->peer_contact) {
        view.since_peer_message = now - *impl_->peer_contact;
    }
    view.confirmed = impl_->confirmed;
    return view;
}

} // namespace skylarkseam
