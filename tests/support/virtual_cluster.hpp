// Runs the real coordinators and owners in virtual time against fake searchers. Each message between nodes
// takes a fixed hop time. Hooks of the test or benchmark decide what a searcher answers and how a reply
// between nodes is delivered.
#pragma once

#include <skylarkseam/core/coordinator.hpp>
#include <skylarkseam/core/owner.hpp>

#include <pcg_random.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

namespace skylarkseam::testing {

/// An answer of a fake searcher and its delay until arrival at the owner.
struct timed_answer {
    duration after{};
    upstream_answer answer;
};

/// A reply between nodes and its delay in addition to the hop.
struct timed_reply {
    duration after{};
    subquery_reply reply;
};

/// Returns the correct answer to a dispatch, without hits.
inline upstream_answer good_answer(const owner_action::dispatch& sent) {
    upstream_answer value;
    value.outcome = subquery_outcome::answered;
    value.request_id = sent.request_id;
    value.shard = sent.shard;
    value.snapshot = sent.snapshot;
    value.boot_id = "boot-1";
    value.state = upstream_state::warm;
    return value;
}

class virtual_cluster {
public:
    using answer_hook = std::function<void(const coordinator_action::answer_query&)>;

    struct node {
        std::string name;
        coordinator queries;
        owner upstreams;
        bool disconnected = false;
        std::optional<time_point> coordinator_wakeup{};
        std::optional<time_point> owner_wakeup{};

        node(const std::string& node_name, std::uint64_t seed)
            : name(node_name)
            , queries(node_name + "/1", seed)
            , upstreams(node_name) {}
    };

    virtual_cluster(std::uint32_t nodes, std::uint64_t seed, duration hop = microseconds(500))
        : random(seed)
        , hop_(hop) {
        for (std::uint32_t n = 0; n < nodes; ++n) {
            nodes_.push_back(std::make_unique<node>("node" + std::to_string(n), seed + n));
        }
    }

    /// Returns the answers that a searcher sends to a dispatch; an empty list means no answer.
    std::function<std::vector<timed_answer>(const owner_action::dispatch&, time_point)> respond;
    std::function<upstream_health(const std::string& searcher, time_point)> health;
    /// Returns the deliveries of a reply between nodes. Without this hook each reply arrives after one hop.
    std::function<std::vector<timed_reply>(const subquery_reply&)> deliver;
    std::function<void(const owner_action::dispatch&, time_point)> on_dispatch;
    std::function<void(const owner_action::cancel_dispatch&, time_point)> on_cancel;

    void set_configuration(const std::shared_ptr<const configuration>& config) {
        for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
            nodes_[n]->queries.set_configuration(config, now);
            nodes_[n]->upstreams.set_configuration(config, now);
            coordinator_step(n, coordinator_event::time_passed{});
            owner_step(n, owner_event::time_passed{});
        }
    }

    /// Sets the searchers' owners. Each node has full authority for the duration of the run.
    void set_ownership(const std::shared_ptr<const ownership>& owners, bool warm) {
        constexpr time_point far_future{std::chrono::hours(1000)};
        for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
            std::vector<std::string> mine;
            for (const auto& [searcher, name] : owners->owner_of) {
                if (name == nodes_[n]->name) {
                    mine.push_back(searcher);
                }
            }
            nodes_[n]->upstreams.set_authority({far_future, far_future});
            std::vector<owner_output> out;
            nodes_[n]->upstreams.set_owned(mine, warm, now, out);
            perform_all(n, out);
            nodes_[n]->queries.set_ownership(owners, now);
        }
    }

    query_id submit(std::uint32_t at, query_request request, answer_hook hook) {
        const auto id = ++last_query_;
        hooks_[id] = std::move(hook);
        coordinator_step(at, coordinator_event::query_arrived{id, std::move(request)});
        return id;
    }

    /// Breaks the node's connections; later messages do not reach the node.
    void disconnect(std::uint32_t n) {
        nodes_[n]->disconnected = true;
        for (auto& [id, it] : streams_) {
            if (it.owner == n && !it.open_attempts.empty()) {
                fail_stream(it, true);
            }
        }
    }

    void at(time_point when, std::function<void()> action) {
        tasks_.push({when, ++last_task_, std::move(action)});
    }
    void after(duration delay, std::function<void()> action) { at(now + delay, std::move(action)); }

    void run_until(time_point end) {
        while (!tasks_.empty() && tasks_.top().when <= end) {
            auto next = std::move(const_cast<task&>(tasks_.top()));
            tasks_.pop();
            now = next.when;
            next.run();
        }
        now = end;
    }

    [[nodiscard]] node& at_node(std::uint32_t n) { return *nodes_[n]; }
    [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(nodes_.size()); }

    time_point now{seconds(1)};
    pcg32 random;

    /// Returns a random number, uniform in [0, 1).
    double uniform() { return std::ldexp(static_cast<double>(random()), -32); }
    duration exponential(duration mean) {
        return duration(
            static_cast<std::int64_t>(-std::log(1.0 - uniform()) * static_cast<double>(mean.count())));
    }

private:
    struct task {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;
        friend bool operator<(const task& a, const task& b) {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };
    struct stream {
        std::uint32_t coordinator = 0;
        std::uint32_t owner = 0;
        query_id query = 0;
        std::vector<std::uint32_t> open_attempts;
    };

    std::uint32_t index_of(const std::string& name) const {
        for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
            if (nodes_[n]->name == name) {
                return n;
            }
        }
        return 0;
    }

    void coordinator_step(std::uint32_t n, coordinator_input event) {
        std::vector<coordinator_output> out;
        nodes_[n]->queries.handle(std::move(event), now, out);
        for (auto& it : out) {
            std::visit([&](auto& action) { perform(n, action); }, it);
        }
        schedule_wakeup(nodes_[n]->coordinator_wakeup, nodes_[n]->queries.next_wakeup(),
                        [this, n] { coordinator_step(n, coordinator_event::time_passed{}); });
    }

    void owner_step(std::uint32_t n, owner_input event) {
        if (nodes_[n]->disconnected) {
            return;
        }
        std::vector<owner_output> out;
        nodes_[n]->upstreams.handle(std::move(event), now, out);
        perform_all(n, out);
    }

    void perform_all(std::uint32_t n, std::vector<owner_output>& out) {
        for (auto& it : out) {
            std::visit([&](auto& action) { perform(n, action); }, it);
        }
        schedule_wakeup(nodes_[n]->owner_wakeup, nodes_[n]->upstreams.next_wakeup(),
                        [this, n] { owner_step(n, owner_event::time_passed{}); });
    }

    template <typename Step>
    void schedule_wakeup(std::optional<time_point>& scheduled, std::optional<time_point> wanted, Step step) {
        if (!wanted || (scheduled && *scheduled <= *wanted)) {
            return;
        }
        const auto when = std::max(*wanted, now);
        scheduled = when;
        at(when, [&scheduled, when, step] {
            if (scheduled == when) {
                scheduled.reset();
                step();
            }
        });
    }

    void perform(std::uint32_t n, coordinator_action::send_batch& action) {
        const auto id = ++last_stream_;
        auto& it = streams_[id];
        it = {n, index_of(action.owner), action.batch.query, {}};
        for (const auto& each : action.batch.subqueries) {
            it.open_attempts.push_back(each.attempt);
        }
        after(hop_, [this, id, batch = std::move(action.batch)]() mutable {
            auto& at_owner = streams_[id];
            if (nodes_[at_owner.owner]->disconnected) {
                fail_stream(at_owner, false);
                return;
            }
            owner_step(at_owner.owner, owner_event::batch_arrived{id, std::move(batch)});
        });
    }

    void fail_stream(stream& it, bool sent) {
        coordinator_event::batch_failed event{nodes_[it.owner]->name, it.query, std::move(it.open_attempts),
                                              sent};
        it.open_attempts.clear();
        after(hop_, [this, n = it.coordinator, event] { coordinator_step(n, event); });
    }

    void perform(std::uint32_t /*n*/, coordinator_action::send_cancel& action) {
        const auto target = index_of(action.owner);
        for (const auto& [id, it] : streams_) {
            const bool wanted =
                it.owner == target && it.query == action.cancel.query && !it.open_attempts.empty();
            if (wanted) {
                after(hop_, [this, target, stream_of = id, cancel = action.cancel] {
                    owner_step(target, owner_event::cancel_arrived{stream_of, cancel});
                });
            }
        }
    }

    void perform(std::uint32_t n, coordinator_action::request_status& action) {
        const auto target = index_of(action.owner);
        after(hop_, [this, n, target, group = action.group] {
            if (nodes_[target]->disconnected) {
                return;
            }
            coordinator_event::status_arrived event{nodes_[target]->name,
                                                    nodes_[target]->upstreams.status(group)};
            after(hop_, [this, n, event] { coordinator_step(n, event); });
        });
    }

    void perform(std::uint32_t /*n*/, coordinator_action::answer_query& action) {
        const auto hook = hooks_.extract(action.id);
        if (!hook.empty() && hook.mapped()) {
            hook.mapped()(action);
        }
    }

    void perform(std::uint32_t n, owner_action::dispatch& action) {
        if (!nodes_[n]->upstreams.may_send(action.searcher, now)) {
            upstream_answer refused;
            refused.outcome = subquery_outcome::not_run_refused;
            refused.bytes_sent = false;
            after({}, [this, n, id = action.id, refused] {
                owner_step(n, owner_event::upstream_answered{id, refused});
            });
            return;
        }
        if (on_dispatch) {
            on_dispatch(action, now);
        }
        for (auto& it : respond(action, now)) {
            after(it.after, [this, n, id = action.id, value = std::move(it.answer)]() mutable {
                owner_step(n, owner_event::upstream_answered{id, std::move(value)});
            });
        }
    }

    void perform(std::uint32_t /*n*/, owner_action::cancel_dispatch& action) {
        if (on_cancel) {
            on_cancel(action, now);
        }
    }

    void perform(std::uint32_t n, owner_action::send_reply& action) {
        const auto at_stream = streams_.find(action.stream);
        if (at_stream == streams_.end()) {
            return;
        }
        const auto to = at_stream->second.coordinator;
        std::erase(at_stream->second.open_attempts, action.reply.attempt);
        if (action.last) {
            streams_.erase(at_stream);
        }
        if (!deliver) {
            pass_reply(n, to, hop_, std::move(action.reply));
            return;
        }
        for (auto& it : deliver(action.reply)) {
            pass_reply(n, to, hop_ + it.after, std::move(it.reply));
        }
    }

    void pass_reply(std::uint32_t from, std::uint32_t to, duration delay, subquery_reply reply) {
        after(delay, [this, to, name = nodes_[from]->name, value = std::move(reply)]() mutable {
            coordinator_step(to, coordinator_event::reply_arrived{name, std::move(value)});
        });
    }

    void perform(std::uint32_t n, owner_action::poll_health& action) {
        after(milliseconds(1), [this, n, name = action.searcher] {
            owner_step(n, owner_event::health_arrived{name, health(name, now)});
        });
    }

    duration hop_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::priority_queue<task> tasks_;
    std::map<stream_id, stream> streams_;
    std::unordered_map<query_id, answer_hook> hooks_;
    query_id last_query_ = 0;
    stream_id last_stream_ = 0;
    std::uint64_t last_task_ = 0;
};

} // namespace skylarkseam::testing
