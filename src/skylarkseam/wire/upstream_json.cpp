#include <skylarkseam/wire/upstream_json.hpp>

#include <nlohmann/json.hpp>
#include <simdjson.h>

#include <algorithm>
#include <limits>

namespace skylarkseam {
namespace {

using nlohmann::json;

hit read_hit(simdjson::dom::element from) {
    hit it;
    it.id = std::string_view(from["id"]);
    it.score = double(from["score"]);
    it.json = simdjson::to_string(simdjson::dom::object(from));
    return it;
}

error invalid_answer(const char* what) {
    return make_error(error_kind::upstream_failed,
                      std::string("the searcher's answer has the wrong form: ") + what);
}

} // namespace

std::string encode_search_body(const std::string& query_json, std::uint32_t limit) {
    return R"({"query":)" + query_json + R"(,"limit":)" + std::to_string(limit) + "}";
}

result<void> decode_search_answer(const std::string& body, upstream_answer& answer) {
    // The parser is kept between calls to reuse its buffers. The DOM interface validates the whole text,
    // including the parts of a hit that are passed on unparsed.
    static thread_local simdjson::dom::parser parser;
    answer.hits.clear();
    try {
        const simdjson::dom::element from = parser.parse(body);
        answer.request_id = std::string_view(from["request_id"]);
        const std::uint64_t shard = from["shard"];
        if (shard > std::numeric_limits<shard_id>::max()) {
            return invalid_answer("the shard is out of range");
        }
        answer.shard = static_cast<shard_id>(shard);
        answer.snapshot = std::uint64_t(from["snapshot"]);
        for (const auto it : simdjson::dom::array(from["hits"])) {
            answer.hits.push_back(read_hit(it));
        }
        return success();
    } catch (const std::exception& ec) {
        answer.hits.clear();
        return invalid_answer(ec.what());
    }
}

run_state decode_run_state(const std::string& body) {
    const auto from = json::parse(body, nullptr, false);
    const auto found = from.is_object() ? from.find("ran") : from.end();
    if (!from.is_object() || found == from.end() || !found->is_string()) {
        return run_state::unknown;
    }
    return find_run_state(found->get<std::string>()).value_or(run_state::unknown);
}

result<upstream_health> decode_health(const std::string& body) {
    try {
        const auto from = json::parse(body);
        upstream_health health;
        health.reachable = true;
        health.state =
            find_upstream_state(from.at("state").get<std::string>()).value_or(upstream_state::cold);
        health.boot_id = from.at("boot_id").get<std::string>();
        for (const auto& it : from.at("shards")) {
            searcher_status::held_shard held;
            held.shard = it.at("shard").get<shard_id>();
            held.snapshots = it.at("snapshots").get<std::vector<snapshot_id>>();
            std::sort(held.snapshots.begin(), held.snapshots.end());
            health.shards.push_back(std::move(held));
        }
        return health;
    } catch (const std::exception& ec) {
        return invalid_answer(ec.what());
    }
}

} // namespace skylarkseam
