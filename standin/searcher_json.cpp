#include "standin/searcher_json.hpp"

#include <nlohmann/json.hpp>

namespace skylarkseam::standin {
namespace {

using nlohmann::json;

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

std::string record_json(const searcher_model& model, time_point now, std::size_t connections,
                        bool with_runs) {
    json body{{"name", model.options().name},
              {"availability_zone", model.options().zone},
              {"now_us", now.time_since_epoch().count()},
              {"boot_id", model.boot_id()},
              {"state", name_of(model.state(now))},
              {"in_flight", model.in_flight()},
              {"queued", model.queued()},
              {"connections", connections},
              {"counters", counters_json(model.counters())},
              {"runs_by_key", model.runs_by_key()}};
    if (with_runs) {
        auto runs = json::array();
        for (const auto& it : model.runs()) {
            runs.push_back(run_json(it));
        }
        body["runs"] = std::move(runs);
    }
    return body.dump();
}

} // namespace skylarkseam::standin
