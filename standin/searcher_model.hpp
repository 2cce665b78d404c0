// The model of one searcher: slots, queue, service time with stragglers, cold start, shards and snapshots,
// faults, and a record of what it ran. Pure: arrivals and the time go in, answers with their causes come out.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam::standin {

enum class searcher_state { cold, warm, draining };

[[nodiscard]] std::string_view name_of(searcher_state state);
[[nodiscard]] std::optional<searcher_state> find_searcher_state(std::string_view name);

/// How long a request takes at this searcher.
struct service_time {
    duration base = milliseconds(2);
    double jitter = 0.2;                ///< each time is base * (1 +- jitter), evenly
    double straggler_probability = 0.0; ///< 0 to 1
    double straggler_factor = 20.0;
    double factor = 1.0;      ///< on every request; a lasting straggler has a large one
    double cold_factor = 2.0; ///< on every request while cold
    duration open_cost{};     ///< added to the first request of a connection
};

struct searcher_options {
    std::string name;
    std::string zone;
    std::vector<shard_id> shards;
    std::set<snapshot_id> snapshots{1};
    std::uint32_t slots = 4;
    std::uint32_t connections = 35;
    std::uint32_t queue = 16; ///< requests that wait for a slot; more are shed
    cold_start cold;
    service_time time;
    std::uint64_t seed = 1;
};

/// One request as it came in.
struct search_arrival {
    std::uint64_t ticket = 0; ///< given by the caller, unique
    std::string request_id;
    shard_id shard = 0;
    snapshot_id snapshot = 0;
    std::optional<duration> remaining; ///< until the deadline
    std::string key;                   ///< of an effect; empty for a search
    bool first_on_connection = false;
};

enum class search_outcome { done, shed, snapshot_not_held, shard_not_held, cancelled, cut };

struct search_completion {
    std::uint64_t ticket = 0;
    search_outcome outcome = search_outcome::done;
};

/// One request that was started.
struct run_record {
    std::string request_id;
    shard_id shard = 0;
    snapshot_id snapshot = 0;
    std::string key;
    time_point started;
    std::uint32_t in_flight = 0; ///< with this one, at the start
    std::uint32_t bears = 0;     ///< what the searcher bore at the start
};

struct searcher_counters {
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled_queued = 0;  ///< withdrawn before they ran
    std::uint64_t cancelled_running = 0; ///< withdrawn while they ran
    std::uint64_t cut = 0;               ///< ended by a kill or a restart
    std::uint64_t stragglers = 0;
    std::uint64_t cold_violations = 0; ///< arrivals beyond what it bore while cold
    /// Of those, the ones that came later than the grace time after the first sign that it was cold.
    std::uint64_t cold_violations_after_sign = 0;
    std::uint64_t arrivals_while_out = 0; ///< that came while it was draining
    std::uint32_t peak_in_flight = 0;     ///< running and waiting
    std::uint32_t connections_refused = 0;
};

class searcher_model {
public:
    searcher_model(searcher_options options, time_point now);

    /// Takes a request; it may complete at once.
    void arrive(search_arrival it, time_point now, std::vector<search_completion>& out);
    /// Withdraws the requests with this id.
    void cancel(const std::string& request_id, time_point now, std::vector<search_completion>& out);
    /// Ends what is due, and starts what waits.
    void advance(time_point now, std::vector<search_completion>& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    void set_state(searcher_state state, time_point now);
    /// A new process: another boot id, cold, and all that it had is cut.
    void restart(time_point now, std::vector<search_completion>& out);
    /// Refuses connections from now on and cuts what it has, or takes them again as after a restart.
    void set_killed(bool killed, time_point now, std::vector<search_completion>& out);
    void add_snapshot(std::optional<shard_id> shard, snapshot_id snapshot);
    void retire_snapshot(std::optional<shard_id> shard, snapshot_id snapshot);
    /// Replaces the shards; a new one holds the snapshots that the searcher was started with.
    void set_shards(const std::vector<shard_id>& shards);
    void set_service_time(const service_time& time) { options_.time = time; }
    void note_refused_connection() { ++counters_.connections_refused; }

    [[nodiscard]] const searcher_options& options() const { return options_; }
    [[nodiscard]] const searcher_counters& counters() const { return counters_; }
    [[nodiscard]] const std::vector<run_record>& runs() const { return runs_; }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& runs_by_key() const { return runs_by_key_; }
    [[nodiscard]] const std::map<shard_id, std::set<snapshot_id>>& held() const { return held_; }
    [[nodiscard]] searcher_state state(time_point now) const;
    /// Requests that it can have in flight now: its slots, or fewer while it is cold.
    [[nodiscard]] std::uint32_t bears(time_point now) const;
    [[nodiscard]] std::uint32_t in_flight() const { return static_cast<std::uint32_t>(running_.size()); }
    [[nodiscard]] std::uint32_t queued() const { return static_cast<std::uint32_t>(waiting_.size()); }
    [[nodiscard]] bool killed() const { return killed_; }
    [[nodiscard]] std::string boot_id() const;
    /// To be called when an answer that states the searcher's state goes out.
    void note_sign(time_point now);

private:
    struct waiting {
        search_arrival arrival;
        time_point arrived;
    };
    struct running {
        std::uint64_t ticket = 0;
        std::string request_id;
    };

    [[nodiscard]] std::optional<search_outcome> refusal(const search_arrival& it, time_point now);
    [[nodiscard]] bool overloads_cold(time_point now);
    [[nodiscard]] duration draw_time(bool first_on_connection, time_point now);
    void start(const search_arrival& it, time_point now);
    void start_waiting(time_point now, std::vector<search_completion>& out);
    void turn_cold(time_point now);
    void cut_all(std::vector<search_completion>& out);

    searcher_options options_;
    pcg64 random_;
    std::map<shard_id, std::set<snapshot_id>> held_;
    std::multimap<time_point, running> running_; ///< by the time at which they end
    std::vector<waiting> waiting_;               ///< in the order of arrival
    std::vector<run_record> runs_;               ///< the first `most_records` ones
    std::map<std::string, std::uint64_t> runs_by_key_;
    searcher_counters counters_;
    bool draining_ = false;
    bool killed_ = false;
    std::optional<time_point> cold_since_;        ///< of the present cold start
    std::optional<time_point> cold_signalled_at_; ///< the first answer or reset after that
    std::uint64_t boots_ = 1;
};

} // namespace skylarkseam::standin
