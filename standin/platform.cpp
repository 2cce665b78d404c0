#include "standin/platform.hpp"

#include "standin/object_store.hpp"
#include "standin/platform_faults.hpp"

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <charconv>
#include <list>
#include <optional>
#include <random>
#include <utility>

namespace skylarkseam::standin {
namespace {

using nlohmann::json;

constexpr duration longest_watch = seconds(60);
constexpr std::size_t object_bytes = 1U << 20U;

front_response json_answer(int status, const json& body) {
    return {status, body.dump()};
}

front_response error_answer(int status, const char* kind) {
    return json_answer(status, {{"error", kind}, {"ran", "no"}, {"detail", ""}});
}

json to_json(const stored_object& object) {
    json out{{"kind", object.kind},
             {"name", object.name},
             {"version", std::to_string(object.version)},
             {"value", json::parse(object.value_json)}};
    if (object.deleted) {
        out["deleted"] = true;
    }
    return out;
}

json to_json(store_version version, const std::vector<stored_object>& objects) {
    auto items = json::array();
    for (const auto& it : objects) {
        items.push_back(to_json(it));
    }
    return {{"version", std::to_string(version)}, {"items", std::move(items)}};
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

front_response to_response(const store_answer& answer) {
    switch (answer.status) {
    case store_status::ok:
        return json_answer(200, to_json(answer.object));
    case store_status::created:
        return json_answer(201, to_json(answer.object));
    case store_status::not_found:
        return error_answer(404, "not_found");
    case store_status::conflict:
        return error_answer(412, "conflict");
    case store_status::too_large:
        return error_answer(413, "payload_too_large");
    }
    return error_answer(500, "internal");
}

outage parse_outage(const json& value) {
    if (value.is_string()) {
        return value == "silent" ? outage::silent : outage::refuses;
    }
    return value.get<bool>() ? outage::refuses : outage::none;
}

/// A field that may be true or false, or a part between 0 and 1.
double parse_part(const json& value) {
    return value.is_boolean() ? (value.get<bool>() ? 1.0 : 0.0) : value.get<double>();
}

struct waiting_watch {
    std::string kind;
    store_version after = 0;
    time_point until;
    front_reply answer;
};

struct host_list {
    time_point set_at;
    json items = json::array();
};

} // namespace

struct platform::impl {
    http_loop& loop;
    object_store store;
    platform_faults faults;
    call_limiter reads;
    call_limiter writes;
    call_limiter all_calls{0};
    pcg64 random;
    std::list<waiting_watch> watches;
    std::vector<front_reply> unanswered; ///< calls held by a silent outage
    std::vector<host_list> hosts;        ///< ascending by set_at
    std::map<std::string, std::uint64_t> calls;
    http_front front;

    impl(http_loop& event_loop, const platform_options& options)
        : loop(event_loop)
        , store({object_bytes, options.history})
        , reads(options.reads_per_s)
        , writes(options.writes_per_s)
        , random(options.seed)
        , front(event_loop, {options.port}, [this](const front_request& request, const front_reply& answer) {
            handle(request, answer);
        }) {}

    void handle(const front_request& request, const front_reply& answer);
    void handle_call(const front_request& request, const front_reply& answer);
    void handle_objects(const front_request& request, const front_reply& answer);
    void watch(const front_request& request, const front_reply& answer);
    void settle_watches();
    void change_made();
    void set_faults(const json& body);
    void end_outage_calls();
    [[nodiscard]] bool admit(bool write);
    [[nodiscard]] bool loses_answer();
    [[nodiscard]] front_response read(const front_request& request) const;
    [[nodiscard]] store_answer write(const front_request& request);
    [[nodiscard]] front_response list_hosts() const;
    [[nodiscard]] front_response set_hosts(const json& body);
    [[nodiscard]] front_response call_counts() const;
};

void platform::impl::handle(const front_request& request, const front_reply& answer) {
    const std::string first = request.segments.empty() ? "" : request.segments[0];
    try {
        if (request.method == "POST" && first == "faults") {
            set_faults(json::parse(request.body));
            answer(json_answer(200, json::object()));
        } else if (request.method == "POST" && first == "hosts") {
            answer(set_hosts(json::parse(request.body)));
        } else if (first == "calls") {
            answer(call_counts());
        } else {
            handle_call(request, answer);
        }
    } catch (const json::exception&) {
        answer(error_answer(400, "bad_request"));
    }
}

void platform::impl::handle_call(const front_request& request, const front_reply& answer) {
    const bool write = request.method != "GET";
    ++calls[request.method];
    if (request.arguments.contains("watch")) {
        ++calls["WATCH"];
    }
    if (faults.down == outage::silent) {
        unanswered.push_back(answer);
        return;
    }
    if (faults.down == outage::refuses) {
        answer(error_answer(503, "platform_unavailable"));
        return;
    }
    if (!admit(write)) {
        ++calls["throttled"];
        answer(error_answer(429, "throttled"));
        return;
    }
    auto late = [this, answer](front_response response) {
        if (faults.latency == duration(0)) {
            answer(std::move(response));
            return;
        }
        loop.run_at(loop.now() + faults.latency,
                    [answer, response = std::move(response)] { answer(response); });
    };
    handle_objects(request, late);
}

void platform::impl::handle_objects(const front_request& request, const front_reply& answer) {
    const auto& path = request.segments;
    if (path.size() == 1 && path[0] == "hosts") {
        answer(list_hosts());
        return;
    }
    if (path.size() < 2 || path.size() > 3 || path[0] != "objects") {
        answer(error_answer(404, "not_found"));
        return;
    }
    if (request.method == "GET" && request.arguments.contains("watch")) {
        watch(request, answer);
        return;
    }
    if (request.method == "GET") {
        answer(read(request));
        return;
    }
    if (path.size() != 3 || (request.method != "PUT" && request.method != "DELETE")) {
        answer(error_answer(400, "bad_request"));
        return;
    }
    if (request.body_too_large) {
        answer(error_answer(413, "payload_too_large"));
        return;
    }
    const auto outcome = write(request);
    answer(loses_answer() ? front_response::dropped() : to_response(outcome));
    change_made();
}

front_response platform::impl::read(const front_request& request) const {
    const auto& path = request.segments;
    if (path.size() == 2) {
        return json_answer(200, to_json(store.version(), store.list(path[1])));
    }
    return to_response(store.get(path[1], path[2]));
}

store_answer platform::impl::write(const front_request& request) {
    const auto& kind = request.segments[1];
    const auto& name = request.segments[2];
    const auto expected = parse_number(request.header("if-match"));
    if (request.method == "DELETE") {
        return store.remove(kind, name, expected.value_or(0), loop.now());
    }
    auto value = json::parse(request.body).at("value").dump();
    if (request.header("if-none-match") == "*") {
        return store.create(kind, name, std::move(value), loop.now());
    }
    return store.update(kind, name, expected.value_or(0), std::move(value), loop.now());
}

void platform::impl::watch(const front_request& request, const front_reply& answer) {
    const auto after = parse_number(request.argument("watch"));
    if (!after) {
        answer(error_answer(400, "bad_request"));
        return;
    }
    const auto asked = milliseconds(parse_number(request.argument("timeout_ms")).value_or(0));
    const auto until = loop.now() + std::min<duration>(asked, longest_watch);
    watches.push_back({request.segments[1], *after, until, answer});
    loop.run_at(until, [this] { settle_watches(); });
    settle_watches();
}

void platform::impl::settle_watches() {
    const auto now = loop.now();
    for (auto it = watches.begin(); it != watches.end();) {
        const auto found = store.changes_after(it->kind, it->after, now - faults.watch_lag);
        if (found && found->items.empty() && now < it->until) {
            ++it;
            continue;
        }
        const auto answer = std::move(it->answer);
        it = watches.erase(it);
        answer(found ? json_answer(200, to_json(found->version, found->items))
                     : error_answer(410, "version_too_old"));
    }
}

void platform::impl::change_made() {
    if (faults.watch_lag > duration(0)) {
        loop.run_at(loop.now() + faults.watch_lag, [this] { settle_watches(); });
    } else {
        settle_watches();
    }
}

void platform::impl::set_faults(const json& body) {
    auto& it = faults;
    it.down = body.contains("down") ? parse_outage(body["down"]) : it.down;
    it.latency = milliseconds(body.value("latency_ms", to_ms(it.latency)));
    it.lose_answers = body.contains("lose_answers") ? parse_part(body["lose_answers"]) : it.lose_answers;
    it.watch_lag = milliseconds(body.value("watch_lag_ms", to_ms(it.watch_lag)));
    if (body.contains("rate")) {
        it.calls_per_s = body["rate"].get<double>();
        all_calls = call_limiter(it.calls_per_s);
    }
    end_outage_calls();
    settle_watches();
}

/// An outage cuts the waiting watches; its end cuts the calls that it held.
void platform::impl::end_outage_calls() {
    if (faults.down == outage::none) {
        for (const auto& answer : std::exchange(unanswered, {})) {
            answer(front_response::dropped());
        }
        return;
    }
    for (auto& it : std::exchange(watches, {})) {
        if (faults.down == outage::silent) {
            unanswered.push_back(std::move(it.answer));
        } else {
            it.answer(front_response::dropped());
        }
    }
}

bool platform::impl::admit(bool write) {
    if (faults.calls_per_s > 0) {
        return all_calls.admit(loop.now());
    }
    return write ? writes.admit(loop.now()) : reads.admit(loop.now());
}

bool platform::impl::loses_answer() {
    return faults.lose_answers > 0 && std::bernoulli_distribution(faults.lose_answers)(random);
}

front_response platform::impl::list_hosts() const {
    const auto visible_at = loop.now() - faults.watch_lag;
    json items = json::array();
    for (const auto& it : hosts) {
        items = it.set_at <= visible_at ? it.items : items;
    }
    return json_answer(200, {{"items", std::move(items)}});
}

front_response platform::impl::set_hosts(const json& body) {
    hosts.push_back({loop.now(), body.at("items")});
    return json_answer(200, json::object());
}

front_response platform::impl::call_counts() const {
    return json_answer(200, {{"calls", calls}, {"watches_waiting", watches.size()}});
}

platform::platform(http_loop& loop, const platform_options& options)
    : impl_(std::make_unique<impl>(loop, options)) {}

platform::~platform() = default;

std::string platform::address() const {
    return impl_->front.address();
}

} // namespace skylarkseam::standin
