// Callers that share the slots of a few searchers: one may flood, the others send at a steady rate.
#pragma once

#include "tail_experiment.hpp"

namespace skylarkseam::testing {

struct sharing_settings {
    std::uint32_t callers = 10; ///< the first floods where `flood` is above 0
    std::uint32_t searchers = 3;
    std::uint32_t slots = 4;
    bool fair = true;   ///< false: all callers count as one, so that the queue is first come, first served
    double load = 0.2;  ///< part of the slots that the steady callers use together
    double flood = 0.0; ///< what the first caller offers, in parts of all slots
    std::uint32_t kept = 1; ///< slots at each searcher that the floors of the steady callers keep
    std::vector<std::uint32_t> weights{}; ///< by caller; empty: all 1
    bool all_flood = false;               ///< every caller offers `flood`
    duration service = milliseconds(10);  ///< mean service time, exponential above a tenth of it
    duration length = seconds(20);
    std::uint64_t seed = 1;
};

struct sharing_result {
    duration p99{};              ///< of the steady callers
    std::vector<double> shares;  ///< of the slot time, by caller
    double refused_part = 0.0;   ///< of the first caller's queries
    double steady_refused = 0.0; ///< of the steady callers' queries
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
            const auto took = settings_.service / 10 + cluster_.exponential(settings_.service * 9 / 10);
            used_us_[std::stoul(sent.query_json)] += static_cast<double>(took.count());
            return {{took, good_answer(sent)}};
        };
        cluster_.health = [](const auto&, auto) {
            return upstream_health{true, upstream_state::warm, "boot-1", {{0, {5}}}};
        };
        cluster_.set_configuration(config);
        cluster_.set_ownership(owners, true);
        cluster_.run_until(cluster_.now + milliseconds(100));
        end_ = cluster_.now + settings_.length;
        for (std::uint32_t n = 0; n < settings_.callers; ++n) {
            arrive(n);
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
            const double floor =
                n == 0 || settings_.kept == 0
                    ? 0.0
                    : static_cast<double>(settings_.kept) / settings_.slots / (settings_.callers - 1);
            rule.callers.push_back({"c" + std::to_string(n), weight, floor, 0});
        }
        config->rules["shares"] = rule;
        return config;
    }

    /// Poisson arrivals of one caller.
    void arrive(std::uint32_t caller) {
        const double all_slots = settings_.searchers * settings_.slots;
        const double steady = settings_.load * all_slots / std::max(1U, settings_.callers - 1);
        const double offered = floods(caller) ? settings_.flood * all_slots : (caller == 0 ? 0.0 : steady);
        if (offered <= 0.0) {
            return;
        }
        const auto mean = static_cast<double>(settings_.service.count()) / offered;
        cluster_.after(cluster_.exponential(duration(static_cast<std::int64_t>(mean))), [this, caller] {
            ask(caller);
            arrive(caller);
        });
    }

    void ask(std::uint32_t caller) {
        query_request request;
        request.caller = settings_.fair ? "c" + std::to_string(caller) : "all";
        request.service = "search";
        request.query_json = std::to_string(caller);
        const auto began = cluster_.now;
        cluster_.submit(0, request, [this, caller, began](const auto& it) {
            auto& asked = caller == 0 ? flooder_ : steady_;
            ++asked.queries;
            asked.refused += it.answer ? 0 : 1;
            if (caller != 0) {
                latencies_.push_back(cluster_.now - began);
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
        it.refused_part = static_cast<double>(flooder_.refused) / std::max(1U, flooder_.queries);
        it.steady_refused = static_cast<double>(steady_.refused) / std::max(1U, steady_.queries);
        return it;
    }

    struct tally {
        std::uint32_t queries = 0;
        std::uint32_t refused = 0;
    };
    sharing_settings settings_;
    virtual_cluster cluster_;
    std::vector<double> used_us_;
    std::vector<duration> latencies_;
    tally flooder_;
    tally steady_;
    time_point end_{};
};

} // namespace skylarkseam::testing
