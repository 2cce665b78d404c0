#include <skylarkseam/shell/upstream_pool.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

/// One connection, what it is used for, and its timer while it opens.
struct pooled {
    std::unique_ptr<upstream_connection> connection;
    std::string address;
    upstream_call_id call = 0; ///< 0: none
    timer_id connect_timer = -1;
};

} // namespace

struct upstream_pool::impl {
    event_loop& loop;
    std::size_t body_limit;
    answer_memory memory{max_held_bytes};
    result_handler on_result;
    sending_handler on_sending;
    upstream_pool_counters counters;
    std::uint64_t last_key = 0;
    std::unordered_map<std::uint64_t, pooled> connections;            ///< by key
    std::unordered_map<std::string, std::vector<std::uint64_t>> idle; ///< keys by address, last used last
    std::unordered_map<std::string, std::uint32_t> open_to;           ///< connections by address
    std::unordered_map<upstream_call_id, std::uint64_t> calls;        ///< keys by call
    // Connections that ended during one of their own callbacks; freed between callbacks.
    std::vector<std::unique_ptr<upstream_connection>> ended;
    bool clearing = false;

    impl(event_loop& event_loop, std::size_t limit, result_handler result, sending_handler sending)
        : loop(event_loop)
        , body_limit(limit)
        , on_result(std::move(result))
        , on_sending(std::move(sending)) {}

    ~impl() {
        for (auto& [key, it] : connections) {
            stop_timer(it);
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::uint64_t open(const std::string& address, duration connect_timeout, duration settle_time) {
        const auto key = ++last_key;
        ++counters.connections_opened;
        ++open_to[address];
        auto& it = connections[key];
        it.address = address;
        it.connection = std::make_unique<upstream_connection>(
            loop, address, body_limit,
            upstream_connection::handlers{
                [this, key] { note_sending(key); },
                [this, key](upstream_result result) { finish(key, std::move(result)); },
                [this, key] { remove(key); }},
            settle_time, &memory);
        it.connect_timer = loop.run_after(connect_timeout + settle_time, [this, key] {
            const auto found = connections.find(key);
            if (found != connections.end()) {
                found->second.connect_timer = -1;
                found->second.connection->fail_if_connecting("connecting took too long");
            }
        });
        return key;
    }

    std::optional<std::uint64_t> take_idle(const std::string& address) {
        // remove() drops the address's list with its last connection, so that it is looked up each time.
        for (auto found = idle.find(address); found != idle.end() && !found->second.empty();
             found = idle.find(address)) {
            const auto key = found->second.back();
            found->second.pop_back();
            const auto it = connections.find(key);
            if (it == connections.end() || !it->second.connection->idle()) {
                continue;
            }
            if (it->second.connection->usable(loop.now())) {
                return key;
            }
            it->second.connection->close();
            remove(key);
        }
        return std::nullopt;
    }

    void note_sending(std::uint64_t key) {
        const auto it = connections.find(key);
        if (on_sending && it != connections.end() && it->second.call != 0) {
            on_sending(it->second.call);
        }
    }

    void finish(std::uint64_t key, upstream_result result) {
        upstream_call_id id = 0;
        const auto it = connections.find(key);
        if (it == connections.end()) {
            // It was removed on the way here: its call stands in the list of calls still.
            const auto call = std::find_if(calls.begin(), calls.end(),
                                           [key](const auto& entry) { return entry.second == key; });
            if (call == calls.end()) {
                return;
            }
            id = call->first;
        } else {
            id = it->second.call;
            it->second.call = 0;
            stop_timer(it->second);
            idle[it->second.address].push_back(key);
        }
        if (calls.erase(id) > 0) {
            on_result(id, std::move(result));
        }
    }

    void remove(std::uint64_t key) {
        const auto it = connections.find(key);
        if (it == connections.end()) {
            return;
        }
        stop_timer(it->second);
        if (it->second.call == 0) {
            ++counters.stray_closes;
        }
        const auto count = open_to.find(it->second.address);
        if (--count->second == 0) {
            open_to.erase(count);
            idle.erase(it->second.address);
        } else {
            auto& keys = idle[it->second.address];
            std::erase(keys, key);
        }
        ended.push_back(std::move(it->second.connection));
        connections.erase(it);
        if (!clearing) {
            clearing = true;
            loop.post([this] {
                clearing = false;
                ended.clear();
            });
        }
    }

    void stop_timer(pooled& it) {
        if (it.connect_timer >= 0) {
            loop.cancel(it.connect_timer);
            it.connect_timer = -1;
        }
    }
};

upstream_pool::upstream_pool(event_loop& loop, std::size_t body_limit, result_handler on_result,
                             sending_handler on_sending)
    : impl_(std::make_unique<impl>(loop, body_limit, std::move(on_result), std::move(on_sending))) {}

upstream_pool::~upstream_pool() = default;

bool upstream_pool::send(upstream_call call) {
    ++impl_->counters.calls;
    const auto kept = impl_->take_idle(call.address);
    const auto key = kept ? *kept : impl_->open(call.address, call.connect_timeout, call.settle_time);
    auto& it = impl_->connections.at(key);
    it.call = call.id;
    impl_->calls[call.id] = key;
    it.connection->send(std::move(call.request));
    return kept.has_value();
}

void upstream_pool::cancel(upstream_call_id id) {
    const auto found = impl_->calls.find(id);
    if (found == impl_->calls.end()) {
        return;
    }
    const auto key = found->second;
    impl_->calls.erase(found);
    const auto it = impl_->connections.find(key);
    if (it != impl_->connections.end()) {
        it->second.connection->close();
        impl_->remove(key);
    }
}

const upstream_pool_counters& upstream_pool::counters() const {
    impl_->counters.connections = impl_->connections.size();
    impl_->counters.held_bytes = impl_->memory.held();
    return impl_->counters;
}

} // namespace skylarkseam
