#include "standin/answer_check.hpp"

#include "standin/hits.hpp"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace skylarkseam::standin {
namespace {

using nlohmann::json;

constexpr double score_tolerance = 1e-9;
constexpr double fraction_tolerance = 1e-6;

bool covers_truly(const json& coverage, const std::vector<shard_id>& shards,
                  const std::vector<shard_id>& missing) {
    const auto searched = coverage.at("searched").get<std::size_t>();
    const auto total = coverage.at("total").get<std::size_t>();
    const double fraction =
        static_cast<double>(searched) / static_cast<double>(std::max<std::size_t>(total, 1));
    return total == shards.size() && searched + missing.size() == total &&
           std::abs(fraction - coverage.at("fraction").get<double>()) < fraction_tolerance;
}

bool same_hits(const json& hits, const std::vector<expected_hit>& expected) {
    return std::equal(
        hits.begin(), hits.end(), expected.begin(), expected.end(), [](const json& a, const expected_hit& b) {
            return a.at("id") == b.id && std::abs(a.at("score").get<double>() - b.score) < score_tolerance;
        });
}

std::string check_hits(const json& hits, snapshot_id snapshot) {
    std::set<std::string> ids;
    for (const auto& it : hits) {
        if (it.at("snapshot") != snapshot) {
            return "snapshot_mixed";
        }
        if (!ids.insert(it.at("id").get<std::string>()).second) {
            return "duplicate_hit";
        }
    }
    return {};
}

std::string check_parsed(const json& answer, const std::string& request_id,
                         const std::string& canonical_query, std::size_t limit, const load_service* service) {
    if (answer.at("request_id") != request_id) {
        return "request_id";
    }
    const auto snapshot = answer.at("snapshot").get<snapshot_id>();
    const auto& hits = answer.at("hits");
    if (auto fault = check_hits(hits, snapshot); !fault.empty()) {
        return fault;
    }
    if (service == nullptr || !service->idempotent) {
        return {};
    }
    const auto missing = answer.at("coverage").at("missing").get<std::vector<shard_id>>();
    if (!covers_truly(answer.at("coverage"), service->shards, missing)) {
        return "coverage";
    }
    std::vector<shard_id> searched;
    std::copy_if(service->shards.begin(), service->shards.end(), std::back_inserter(searched),
                 [&](shard_id it) { return std::find(missing.begin(), missing.end(), it) == missing.end(); });
    return same_hits(hits, merged_hits(canonical_query, searched, snapshot, limit)) ? "" : "hits";
}

} // namespace

answer_verdict check_answer(const std::string& body, const std::string& request_id,
                            const std::string& canonical_query, std::size_t limit,
                            const load_service* service) {
    answer_verdict verdict;
    try {
        const auto answer = json::parse(body);
        verdict.coverage = answer.at("coverage").at("fraction").get<double>();
        verdict.shards = answer.at("coverage").at("total").get<std::uint32_t>();
        verdict.wrong = check_parsed(answer, request_id, canonical_query, limit, service);
    } catch (const json::exception&) {
        verdict.wrong = "form";
    }
    return verdict;
}

std::map<std::string, load_service> services_in(const std::string& yaml) {
    std::map<std::string, std::set<shard_id>> shards;
    std::map<std::string, load_service> services;
    const auto documents = YAML::LoadAll(yaml);
    for (const auto& it : documents) {
        if (it.IsMap() && it["kind"].as<std::string>("") == "upstream_group") {
            for (const auto& searcher : it["searchers"]) {
                const auto held = searcher["shards"].as<std::vector<shard_id>>();
                shards[it["name"].as<std::string>()].insert(held.begin(), held.end());
            }
        }
    }
    for (const auto& it : documents) {
        if (it.IsMap() && it["kind"].as<std::string>("") == "service") {
            const auto& group = shards[it["upstream_group"].as<std::string>()];
            services[it["name"].as<std::string>()] = {{group.begin(), group.end()},
                                                      it["idempotent"].as<bool>(true)};
        }
    }
    return services;
}

} // namespace skylarkseam::standin
