// Simulation of callers that share the slots of a few searchers. One caller can flood; the others send at a
// steady rate.
#pragma once

#include "tail_experiment.hpp"

namespace skylarkseam::testing {

struct sharing_settings {
    std::uint32_t callers = 10; ///< Number of callers; the first one floods if `flood` is greater than 0.
    std::uint32_t searchers = 3;
    std::uint32_t slots = 4;
    /// False puts all callers into one account, which makes the queue first come, first served.
    bool fair = true;
    double load = 0.2;  ///< Fraction of all slots that the steady callers use together.
    double flood = 0.0; ///< Load offered by the first caller, as a multiple of all slots.
    std::uint32_t reserved_slots =
        1; ///< Slots of each searcher reserved by the floors of the steady callers.
    std::vector<std::uint32_t> weights{}; ///< Weights by caller; empty gives all callers the weight 1.
    bool all_flood = false;               ///< Whether every caller offers the load `flood`.
    duration service = milliseconds(10);  ///< Mean service time: a fixed tenth plus an exponential part.
    duration length = seconds(20);
    std::uint64_t seed = 1;
};

struct sharing_result {
    duration p99{};                        ///< 99th percentile of the steady callers' latency.
    std::vector<double> shares;            ///< Fractions of the slot time, by caller.
    double flooder_refused_fraction = 0.0; ///< Fraction of the first caller's queries that were refused.
    double steady_refused_fraction = 0.0;  ///< Fraction of the steady callers' queries that were refused.
};

class sharing_experiment {
public:
    explicit sharing_experiment(sharing_settings settings)
        : settings_(std::move(settings))
        , cluster_(1, settings_.seed)
        , used_us_(settings_.callers, 0.0) {}

    sharing_result run() {
        const auto config = make_configuration();
        auto owners = std::make_shared<ownership>();
        for (const auto& it : config->groups.at("alerts").searchers) {
            owners->owner_of[it.name] = "node0";
        }
        cluster_.respond = [this](const auto& sent, auto) -> std::vector<timed_answer> {
            const auto service_time =
                settings_.service / 10 + cluster_.exponential(settings_.service * 9 / 10);
            used_us_[std::stoul(sent.query_json)] += static_cast<double>(service_time.count());
            return {{service_time, good_answer(sent)}};
        };
        cluster_.health = [](const auto&, auto) {
            return upstream_health{true, upstream_state::warm, "boot-1", {{0, {5}}}};
        };
        cluster_.set_configuration(config);
        cluster_.set_ownership(owners, true);
        cluster_.run_until(cluster_.now + milliseconds(100));
        end_ = cluster_.now + settings_.length;
        for (std::uint32_t n = 0; n < settings_.callers; ++n) {
            schedule_next_arrival(n);
        }
        cluster_.run_until(end_);
        return result();
    }

private:
    static constexpr duration deadline = milliseconds(1000);

    [[nodiscard]] bool floods(std::uint32_t caller) const {
        return settings_.flood > 0.0 && (caller == 0 || settings_.all_flood);
    }

    std::shared_ptr<configuration> make_configuration() const {
        auto config = std::make_shared<configuration>();
        config->generation = 1;
        upstream_group group;
        group.name = "alerts";
        group.slots = settings_.slots;
        group.connections = settings_.slots;
        for (std::uint32_t n = 0; n < settings_.searchers; ++n) {
            group.searchers.push_back(
                {"s" + std::to_string(n), "127.0.0.1:1", "kochi", {0}, service_state::in});
        }
        config->groups["alerts"] = std::move(group);
        service search{"search", "alerts", deadline, 0.0, true, request_class::interactive, 0.0};
        config->services["search"] = search;
        sharing_rule rule{"shares", "alerts", {}};
        for (std::uint32_t n = 0; n < settings_.callers && settings_.fair; ++n) {
            const auto weight = settings_.weights.empty() ? 1U : settings_.weights[n];
            const double floor = n == 0 || settings_.reserved_slots == 0
                                     ? 0.0
                                     : static_cast<double>(settings_.reserved_slots) / settings_.slots /
                                           (settings_.callers - 1);
            rule.callers.push_back({"c" + std::to_string(n), weight, floor, 0});
        }
        config->rules["shares"] = rule;
        return config;
    }

    /// Schedules the next query of one caller; the queries form a Poisson process.
    void schedule_next_arrival(std::uint32_t caller) {
        const double all_slots = settings_.searchers * settings_.slots;
        const double steady = settings_.load * all_slots / std::max(1U, settings_.callers - 1);
        const double offered = floods(caller) ? settings_.flood * all_slots : (caller == 0 ? 0.0 : steady);
        if (offered <= 0.0) {
            return;
        }
        const auto mean = static_cast<double>(settings_.service.count()) / offered;
        cluster_.after(cluster_.exponential(duration(static_cast<std::int64_t>(mean))), [this, caller] {
            submit_query(caller);
            schedule_next_arrival(caller);
        });
    }

    void submit_query(std::uint32_t caller) {
        query_request request;
        request.caller = settings_.fair ? "c" + std::to_string(caller) : "all";
        request.service = "search";
        request.query_json = std::to_string(caller);
        const auto sent_at = cluster_.now;
        cluster_.submit(0, request, [this, caller, sent_at](const auto& it) {
            auto& counts = caller == 0 ? flooder_ : steady_;
            ++counts.queries;
            counts.refused += it.answer ? 0 : 1;
            if (caller != 0) {
                latencies_.push_back(cluster_.now - sent_at);
            }
        });
    }

    sharing_result result() {
        sharing_result it;
        it.p99 = quantile_of(latencies_, 0.99);
        double all = 0.0;
        for (const auto us : used_us_) {
            all += us;
        }
        for (const auto us : used_us_) {
            it.shares.push_back(us / all);
        }
        it.flooder_refused_fraction = static_cast<double>(flooder_.refused) / std::max(1U, flooder_.queries);
        it.steady_refused_fraction = static_cast<double>(steady_.refused) / std::max(1U, steady_.queries);
        return it;
    }

    struct query_counts {
        std::uint32_t queries = 0;
        std::uint32_t refused = 0;
    };
    sharing_settings settings_;
    virtual_cluster cluster_;
    std::vector<double> used_us_;
    std::vector<duration> latencies_;
    query_counts flooder_;
    query_counts steady_;
    time_point end_{};
};

} // namespace skylarkseam::testing
