#include "standin/searcher.hpp"

#include "standin/hits.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace skylarkseam::standin {
namespace {

using nlohmann::json;

constexpr std::size_t default_limit = 10;

struct outcome_answer {
    search_outcome outcome;
    int status;
    const char* error;
    const char* ran;
};

constexpr std::array outcome_answers{
    outcome_answer{search_outcome::done, 200, "", "yes"},
    outcome_answer{search_outcome::shed, 503, "overloaded", "no"},
    outcome_answer{search_outcome::snapshot_not_held, 409, "snapshot_unavailable", "no"},
    outcome_answer{search_outcome::shard_not_held, 410, "shard_not_held", "no"},
    outcome_answer{search_outcome::cancelled, 499, "cancelled", "unknown"},
    outcome_answer{search_outcome::cut, 0, "cut", "unknown"},
};

const outcome_answer& answer_for(search_outcome outcome) {
    for (const auto& it : outcome_answers) {
        if (it.outcome == outcome) {
            return it;
        }
    }
    return outcome_answers.back();
}

std::uint64_t to_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// What a request asked for, kept until its answer.
struct open_search {
    search_arrival arrival;
    std::string canonical;
    std::size_t limit = default_limit;
    front_reply answer;
};

/// What the health and load endpoints say in place of the truth.
struct misleading {
    std::optional<std::string> state;
    std::optional<std::uint32_t> in_flight;
    std::optional<std::uint32_t> queued;
};

json hits_json(const open_search& it) {
    auto hits = json::array();
    for (const auto& hit : shard_hits(it.canonical, it.arrival.shard, it.arrival.snapshot, it.limit)) {
        hits.push_back({{"id", hit.id}, {"score", hit.score}, {"snapshot", it.arrival.snapshot}});
    }
    return hits;
}

json run_json(const run_record& it) {
    json out{{"request_id", it.request_id}, {"shard", it.shard},
             {"snapshot", it.snapshot},     {"started_us", it.started.time_since_epoch().count()},
             {"in_flight", it.in_flight},   {"bears", it.bears}};
    if (!it.key.empty()) {
        out["key"] = it.key;
    }
    return out;
}

json counters_json(const searcher_counters& it) {
    return {{"arrived", it.arrived},
            {"started", it.started},
            {"finished", it.finished},
            {"shed", it.shed},
            {"cancelled_queued", it.cancelled_queued},
            {"cancelled_running", it.cancelled_running},
            {"cut", it.cut},
            {"stragglers", it.stragglers},
            {"cold_violations", it.cold_violations},
            {"cold_violations_after_sign", it.cold_violations_after_sign},
            {"arrivals_while_out", it.arrivals_while_out},
            {"peak_in_flight", it.peak_in_flight},
            {"connections_refused", it.connections_refused}};
}

} // namespace

struct searcher_front::impl {
    http_loop& loop;
    searcher_model model;
    misleading lies;
    std::uint64_t next_ticket = 1;
    std::unordered_map<std::uint64_t, open_search> open;
    std::optional<time_point> timer_at; ///< the earliest timer that is set
    http_front front;

    impl(http_loop& event_loop, const searcher_options& options, std::uint16_t port)
        : loop(event_loop)
        , model(options, event_loop.now())
        , front(
              event_loop, {port, 4U << 20U, [this] { return accepts_connection(); }},
              [this](const front_request& request, const front_reply& answer) { handle(request, answer); }) {}

    bool accepts_connection();
    void handle(const front_request& request, const front_reply& answer);
    [[nodiscard]] std::optional<front_response> handle_now(const front_request& request);
    void search(const front_request& request, const front_reply& answer);
    void finish(const std::vector<search_completion>& completions);
    [[nodiscard]] front_response complete(const open_search& it, search_outcome outcome);
    void set_timer();
    void on_timer();
    [[nodiscard]] front_response with_state(front_response response);
    [[nodiscard]] front_response cancel(const std::string& request_id);
    [[nodiscard]] front_response health();
    [[nodiscard]] front_response load() const;
    [[nodiscard]] front_response record(bool with_runs) const;
    [[nodiscard]] front_response control(const json& body);
    void control_time(const json& body);
    void control_snapshots(const json& body);
    void control_state(const json& body, std::vector<search_completion>& out);
    void control_lies(const json& body);
};

bool searcher_front::impl::accepts_connection() {
    const bool taken = !model.killed() && front.connections() < model.options().connections;
    if (!taken) {
        model.note_refused_connection();
        model.note_sign(loop.now());
    }
    return taken;
}

void searcher_front::impl::handle(const front_request& request, const front_reply& answer) {
    const std::string first = request.segments.empty() ? "" : request.segments[0];
    try {
        if (request.method == "POST" && (first == "search" || first == "effect")) {
            search(request, answer);
        } else if (auto response = handle_now(request)) {
            answer(std::move(*response));
        } else {
            answer({404, "{}"});
        }
    } catch (const json::exception&) {
        answer({400, R"({"error":"bad_request","ran":"no"})"});
    }
}

std::optional<front_response> searcher_front::impl::handle_now(const front_request& request) {
    const auto& path = request.segments;
    const std::string first = path.empty() ? "" : path[0];
    if (first == "control" && request.method == "POST") {
        return control(json::parse(request.body));
    }
    if (first == "record") {
        return record(request.argument("runs") != "0");
    }
    if (model.killed()) {
        return front_response::dropped();
    }
    if (first == "search" && request.method == "DELETE" && path.size() == 2) {
        return cancel(path[1]);
    }
    if (first == "health") {
        return health();
    }
    if (first == "load") {
        return load();
    }
    return std::nullopt;
}

void searcher_front::impl::search(const front_request& request, const front_reply& answer) {
    const auto body = json::parse(request.body);
    open_search it;
    it.arrival.ticket = next_ticket++;
    it.arrival.request_id = request.header("x-request-id");
    it.arrival.shard = static_cast<shard_id>(to_number(request.header("x-shard")));
    it.arrival.snapshot = to_number(request.header("x-snapshot"));
    it.arrival.first_on_connection = request.first_on_connection;
    if (const auto deadline = request.header("x-deadline-ms"); !deadline.empty()) {
        it.arrival.remaining = milliseconds(to_number(deadline));
    }
    if (request.segments[0] == "effect") {
        it.arrival.key = request.header("idempotency-key");
    }
    it.canonical = body.at("query").dump();
    it.limit = body.value("limit", default_limit);
    it.answer = answer;
    auto arrival = it.arrival;
    open.emplace(arrival.ticket, std::move(it));
    std::vector<search_completion> done;
    model.arrive(std::move(arrival), loop.now(), done);
    finish(done);
}

front_response searcher_front::impl::complete(const open_search& it, search_outcome outcome) {
    if (outcome == search_outcome::cut) {
        return front_response::dropped();
    }
    const auto& row = answer_for(outcome);
    if (outcome != search_outcome::done) {
        return with_state({row.status, json{{"error", row.error}, {"ran", row.ran}}.dump()});
    }
    const json body{{"request_id", it.arrival.request_id},
                    {"shard", it.arrival.shard},
                    {"snapshot", it.arrival.snapshot},
                    {"hits", hits_json(it)}};
    return with_state({row.status, body.dump()});
}

void searcher_front::impl::finish(const std::vector<search_completion>& completions) {
    for (const auto& it : completions) {
        const auto found = open.find(it.ticket);
        if (found == open.end()) {
            continue;
        }
        const auto done = std::move(found->second);
        open.erase(found);
        done.answer(complete(done, it.outcome));
    }
    set_timer();
}

void searcher_front::impl::set_timer() {
    const auto next = model.next_wakeup();
    if (!next || (timer_at && *timer_at <= *next)) {
        return;
    }
    timer_at = next;
    loop.run_at(*next, [this] { on_timer(); });
}

void searcher_front::impl::on_timer() {
    timer_at.reset();
    std::vector<search_completion> done;
    model.advance(loop.now(), done);
    finish(done);
}

front_response searcher_front::impl::with_state(front_response response) {
    const auto now = loop.now();
    model.note_sign(now);
    response.headers["X-Boot-Id"] = model.boot_id();
    response.headers["X-State"] = std::string(name_of(model.state(now)));
    return response;
}

front_response searcher_front::impl::cancel(const std::string& request_id) {
    std::vector<search_completion> done;
    model.cancel(request_id, loop.now(), done);
    const bool found = !done.empty();
    finish(done);
    return with_state({found ? 200 : 404, "{}"});
}

front_response searcher_front::impl::health() {
    auto shards = json::array();
    for (const auto& [shard, snapshots] : model.held()) {
        shards.push_back({{"shard", shard}, {"snapshots", snapshots}});
    }
    const std::string state = lies.state.value_or(std::string(name_of(model.state(loop.now()))));
    const json body{{"state", state}, {"boot_id", model.boot_id()}, {"shards", std::move(shards)}};
    auto response = with_state({200, body.dump()});
    response.headers["X-State"] = state;
    return response;
}

front_response searcher_front::impl::load() const {
    const json body{{"in_flight", lies.in_flight.value_or(model.in_flight())},
                    {"queued", lies.queued.value_or(model.queued())}};
    return {200, body.dump()};
}

front_response searcher_front::impl::record(bool with_runs) const {
    json body{{"name", model.options().name},
              {"availability_zone", model.options().zone},
              {"now_us", loop.now().time_since_epoch().count()},
              {"boot_id", model.boot_id()},
              {"state", name_of(model.state(loop.now()))},
              {"in_flight", model.in_flight()},
              {"queued", model.queued()},
              {"connections", front.connections()},
              {"counters", counters_json(model.counters())},
              {"runs_by_key", model.runs_by_key()}};
    if (with_runs) {
        auto runs = json::array();
        for (const auto& it : model.runs()) {
            runs.push_back(run_json(it));
        }
        body["runs"] = std::move(runs);
    }
    return {200, body.dump()};
}

front_response searcher_front::impl::control(const json& body) {
    std::vector<search_completion> done;
    control_time(body);
    control_snapshots(body);
    control_state(body, done);
    control_lies(body);
    finish(done);
    return {200, "{}"};
}

void searcher_front::impl::control_time(const json& body) {
    auto time = model.options().time;
    time.factor = body.value("straggle_factor", time.factor);
    time.straggler_probability = body.value("straggler_probability", time.straggler_probability);
    time.straggler_factor = body.value("straggler_factor", time.straggler_factor);
    if (body.contains("base_ms")) {
        time.base = duration(static_cast<duration::rep>(body["base_ms"].get<double>() * 1000.0));
    }
    model.set_service_time(time);
}

void searcher_front::impl::control_snapshots(const json& body) {
    if (body.contains("shards")) {
        model.set_shards(body["shards"].get<std::vector<shard_id>>());
    }
    std::optional<shard_id> shard;
    if (body.contains("shard")) {
        shard = body["shard"].get<shard_id>();
    }
    if (body.contains("snapshot")) {
        model.add_snapshot(shard, body["snapshot"].get<snapshot_id>());
    }
    if (body.contains("retire")) {
        model.retire_snapshot(shard, body["retire"].get<snapshot_id>());
    }
}

void searcher_front::impl::control_state(const json& body, std::vector<search_completion>& out) {
    const auto now = loop.now();
    if (const auto state = find_searcher_state(body.value("state", std::string()))) {
        model.set_state(*state, now);
    }
    const bool kill = body.value("kill", model.killed());
    const bool reset = kill != model.killed() || body.value("restart", false);
    if (kill != model.killed()) {
        model.set_killed(kill, now, out);
    } else if (reset) {
        model.restart(now, out);
    }
    if (reset && front.connections() > 0) {
        front.reset_connections();
        model.note_sign(now);
    }
}

void searcher_front::impl::control_lies(const json& body) {
    if (!body.contains("mislead")) {
        return;
    }
    const auto& it = body["mislead"];
    lies = {};
    if (it.contains("state")) {
        lies.state = it["state"].get<std::string>();
    }
    if (it.contains("in_flight")) {
        lies.in_flight = it["in_flight"].get<std::uint32_t>();
    }
    if (it.contains("queued")) {
        lies.queued = it["queued"].get<std::uint32_t>();
    }
}

searcher_front::searcher_front(http_loop& loop, const searcher_options& options, std::uint16_t port)
    : impl_(std::make_unique<impl>(loop, options, port)) {}

searcher_front::~searcher_front() = default;

std::string searcher_front::address() const {
    return impl_->front.address();
}

const searcher_options& searcher_front::options() const {
    return impl_->model.options();
}

front_response searcher_front::operate(const front_request& request) {
    try {
        return impl_->handle_now(request).value_or(front_response{404, "{}"});
    } catch (const json::exception&) {
        return {400, "{}"};
    }
}

} // namespace skylarkseam::standin
