#include "standin/load_run.hpp"

#include "standin/curl_body.hpp"
#include "standin/upstream_load.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace skylarkseam::standin {
namespace {

constexpr duration health_interval = milliseconds(200);
constexpr long health_timeout_ms = 1000;
constexpr long most_idle_connections = 2000;
constexpr duration longest_poll = milliseconds(50);
constexpr duration progress_interval = seconds(1);
constexpr int http_ok = 200;
constexpr int http_accepted = 202;

time_point steady_now() {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

struct target {
    std::string address;
    bool healthy = false;
    bool asked = false; ///< whether a health request is open
};

/// One HTTP request under way: a query, or a target's health.
struct transfer {
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    std::size_t target = 0;
    std::size_t tries = 0; ///< connections that failed before
    bool health = false;
    load_arrival arrival;
    std::string request_id;
    std::string query;
    std::string body;
};

class load_runner {
public:
    load_runner(const load_options& options,
                const std::function<void(duration, const load_statistics&)>& progress)
        : options_(options)
        , on_progress_(progress)
        , plan_(options.mix, options.rate_per_s, options.seed)
        , multi_(curl_multi_init()) {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, most_idle_connections);
        for (const auto& it : options.targets) {
            targets_.push_back({it});
        }
    }
    ~load_runner() { curl_multi_cleanup(multi_); }
    load_runner(const load_runner&) = delete;
    load_runner& operator=(const load_runner&) = delete;

    load_statistics run();

private:
    void wait_for_a_target();
    void send_due(time_point now);
    void send(transfer* it);
    void send_query(const load_arrival& arrival);
    void send_again(const transfer& failed);
    void send_to_next_target(std::unique_ptr<transfer> it);
    void ask_health(std::size_t index);
    void ask_all_health(time_point now);
    void step(duration wait);
    void end(transfer* it, CURLcode code);
    void end_query(transfer& it, CURLcode code, long status);
    [[nodiscard]] load_outcome outcome_of(const transfer& it, CURLcode code, long status) const;
    void report_progress(time_point now);
    [[nodiscard]] std::size_t next_target();
    [[nodiscard]] curl_slist* headers_of(const transfer& it) const;

    const load_options& options_;
    const std::function<void(duration, const load_statistics&)>& on_progress_;
    load_plan plan_;
    CURLM* multi_;
    std::vector<target> targets_;
    std::size_t turn_ = 0;
    std::size_t open_queries_ = 0;
    std::size_t open_transfers_ = 0;
    time_point start_;
    time_point next_health_;
    time_point next_progress_;
    load_arrival next_;
    load_statistics statistics_;
};

load_statistics load_runner::run() {
    wait_for_a_target();
    start_ = steady_now();
    next_progress_ = start_ + progress_interval;
    next_ = plan_.next();
    const auto last_answer = start_ + options_.length + options_.timeout + seconds(1);
    for (auto now = start_; next_.at < options_.length || open_queries_ > 0; now = steady_now()) {
        if (now > last_answer) {
            break;
        }
        ask_all_health(now);
        send_due(now);
        report_progress(now);
        const auto until_next = next_.at < options_.length ? start_ + next_.at - steady_now() : longest_poll;
        step(std::clamp(until_next, duration(0), longest_poll));
    }
    while (open_transfers_ > 0 && steady_now() < last_answer + milliseconds(health_timeout_ms)) {
        step(longest_poll);
    }
    return std::move(statistics_);
}

void load_runner::wait_for_a_target() {
    const auto limit = steady_now() + options_.timeout;
    while (std::none_of(targets_.begin(), targets_.end(), [](const target& it) { return it.healthy; })) {
        const auto now = steady_now();
        if (now > limit) {
            throw std::runtime_error("no node answers /healthz with 200");
        }
        ask_all_health(now);
        step(longest_poll);
    }
}

void load_runner::ask_all_health(time_point now) {
    if (now < next_health_) {
        return;
    }
    next_health_ = now + health_interval;
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        if (!targets_[it].asked) {
            ask_health(it);
        }
    }
}

void load_runner::ask_health(std::size_t index) {
    targets_[index].asked = true;
    auto it = std::make_unique<transfer>();
    it->health = true;
    it->target = index;
    it->easy = curl_easy_init();
    curl_easy_setopt(it->easy, CURLOPT_URL, ("http://" + targets_[index].address + "/healthz").c_str());
    curl_easy_setopt(it->easy, CURLOPT_TIMEOUT_MS, health_timeout_ms);
    send(it.release());
}

void load_runner::send_due(time_point now) {
    while (next_.at < options_.length && start_ + next_.at <= now) {
        send_query(next_);
        next_ = plan_.next();
    }
}

/// The next healthy target in turn; any target if none is.
std::size_t load_runner::next_target() {
    for (std::size_t it = 0; it < targets_.size(); ++it) {
        turn_ = (turn_ + 1) % targets_.size();
        if (targets_[turn_].healthy) {
            break;
        }
    }
    return turn_;
}

curl_slist* load_runner::headers_of(const transfer& it) const {
    const auto& kind = options_.mix[it.arrival.kind];
    curl_slist* list = curl_slist_append(nullptr, ("X-Caller: " + kind.caller).c_str());
    list = curl_slist_append(list, ("X-Request-Id: " + it.request_id).c_str());
    list = curl_slist_append(list, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    if (!kind.cls.empty()) {
        list = curl_slist_append(list, ("X-Class: " + kind.cls).c_str());
    }
    const auto service = options_.services.find(kind.service);
    if (service != options_.services.end() && !service->second.idempotent) {
        list = curl_slist_append(list, ("Idempotency-Key: " + it.request_id).c_str());
    }
    return list;
}

void load_runner::send_query(const load_arrival& arrival) {
    auto it = std::make_unique<transfer>();
    it->arrival = arrival;
    it->request_id = "load-" + std::to_string(options_.seed) + "-" + std::to_string(arrival.number);
    it->query = nlohmann::json{{"text", "q" + std::to_string(arrival.number % options_.queries)}}.dump();
    send_to_next_target(std::move(it));
}

/// Takes the transfer, until end().
void load_runner::send(transfer* it) {
    curl_easy_setopt(it->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(it->easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(it->easy, CURLOPT_WRITEDATA, &it->body);
    curl_easy_setopt(it->easy, CURLOPT_PRIVATE, it);
    curl_multi_add_handle(multi_, it->easy);
    ++open_transfers_;
}

void load_runner::step(duration wait) {
    int running = 0;
    curl_multi_poll(multi_, nullptr, 0, static_cast<int>(to_ms(wait)), nullptr);
    curl_multi_perform(multi_, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            transfer* it = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &it);
            end(it, message->data.result);
        }
    }
}

void load_runner::end(transfer* it, CURLcode code) {
    const std::unique_ptr<transfer> done(it);
    long status = 0;
    curl_easy_getinfo(done->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi_, done->easy);
    --open_transfers_;
    if (done->health) {
        targets_[done->target].asked = false;
        targets_[done->target].healthy = code == CURLE_OK && status == http_ok;
    } else {
        end_query(*done, code, status);
    }
    curl_easy_cleanup(done->easy);
    curl_slist_free_all(done->headers);
}

void load_runner::end_query(transfer& it, CURLcode code, long status) {
    --open_queries_;
    if (code == CURLE_COULDNT_CONNECT) {
        targets_[it.target].healthy = false;
        if (it.tries + 1 < targets_.size()) {
            send_again(it);
            return;
        }
    }
    statistics_.add(outcome_of(it, code, status));
}

/// A request that never left goes to the next node, as a balancer does it; its latency still counts from
/// the time at which it was scheduled.
void load_runner::send_again(const transfer& failed) {
    auto it = std::make_unique<transfer>();
    it->arrival = failed.arrival;
    it->request_id = failed.request_id;
    it->query = failed.query;
    it->tries = failed.tries + 1;
    send_to_next_target(std::move(it));
}

void load_runner::send_to_next_target(std::unique_ptr<transfer> it) {
    it->target = next_target();
    it->easy = curl_easy_init();
    it->headers = headers_of(*it);
    const auto body = R"({"query":)" + it->query + R"(,"limit":)" + std::to_string(options_.limit) + "}";
    const auto path = "/v1/services/" + options_.mix[it->arrival.kind].service + "/query";
    curl_easy_setopt(it->easy, CURLOPT_URL, ("http://" + targets_[it->target].address + path).c_str());
    curl_easy_setopt(it->easy, CURLOPT_COPYPOSTFIELDS, body.c_str());
    curl_easy_setopt(it->easy, CURLOPT_HTTPHEADER, it->headers);
    curl_easy_setopt(it->easy, CURLOPT_TIMEOUT_MS, static_cast<long>(to_ms(options_.timeout)));
    ++open_queries_;
    send(it.release());
}

load_outcome load_runner::outcome_of(const transfer& it, CURLcode code, long status) const {
    const auto& kind = options_.mix[it.arrival.kind];
    load_outcome outcome;
    outcome.scheduled = it.arrival.at;
    outcome.latency = steady_now() - (start_ + it.arrival.at);
    outcome.caller = kind.caller;
    if (code != CURLE_OK) {
        outcome.kind = curl_easy_strerror(code);
    } else if (status == http_accepted) {
        outcome.result = load_result::accepted;
    } else if (status == http_ok) {
        const auto service = options_.services.find(kind.service);
        const auto* known = service == options_.services.end() ? nullptr : &service->second;
        const auto verdict = check_answer(it.body, it.request_id, it.query, options_.limit, known);
        outcome.result = load_result::answered;
        outcome.coverage = verdict.coverage;
        outcome.shards = verdict.shards;
        outcome.wrong = verdict.wrong;
    } else {
        const auto body = nlohmann::json::parse(it.body, nullptr, false);
        outcome.result = load_result::refused;
        outcome.kind = body.is_object() ? body.value("error", "unnamed") : "unnamed";
    }
    return outcome;
}

void load_runner::report_progress(time_point now) {
    if (now >= next_progress_) {
        next_progress_ = now + progress_interval;
        on_progress_(now - start_, statistics_);
    }
}

} // namespace

bool is_loopback(const std::string& address) {
    constexpr std::string_view digits_and_dots = "0123456789.";
    const auto host = address.substr(0, address.find(':'));
    return host.starts_with("127.") && host.find_first_not_of(digits_and_dots) == std::string::npos;
}

load_report run_load(const load_options& options,
                     const std::function<void(duration, const load_statistics&)>& on_progress) {
    load_report report;
    upstream_load before;
    if (!options.searchers.empty()) {
        before = read_upstream_load(options.searchers);
    }
    report.statistics = load_runner(options, on_progress).run();
    if (!options.searchers.empty()) {
        report.upstreams = difference(read_upstream_load(options.searchers), before);
    }
    return report;
}

} // namespace skylarkseam::standin
