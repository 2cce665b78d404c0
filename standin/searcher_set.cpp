#include "standin/searcher_set.hpp"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace skylarkseam::standin {
namespace {

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path.string());
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

cold_start read_cold_start(const YAML::Node& node, cold_start cold) {
    if (node) {
        cold.slots = node["slots"].as<std::uint32_t>(cold.slots);
        cold.step = node["step"].as<std::uint32_t>(cold.step);
        cold.interval = milliseconds(node["interval_ms"].as<std::int64_t>(to_ms(cold.interval)));
    }
    return cold;
}

bool is_group(const YAML::Node& document) {
    return document.IsMap() && document["kind"].as<std::string>("") == "upstream_group";
}

/// Shards are spread so that neighbouring searchers hold the replicas of the same ones.
std::vector<shard_id> shards_of(const uniform_set& set, std::size_t searcher) {
    std::vector<shard_id> shards;
    for (shard_id shard = 0; shard < set.shards; ++shard) {
        for (std::uint32_t replica = 0; replica < set.replicas; ++replica) {
            if ((static_cast<std::size_t>(shard) * set.replicas + replica) % set.searchers == searcher) {
                shards.push_back(shard);
            }
        }
    }
    shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
    return shards;
}

YAML::Node searcher_node(const uniform_set& set, std::size_t it) {
    YAML::Node node;
    node["name"] = set.group + "-" + std::to_string(it);
    node["address"] = "127.0.0.1:1";
    node["availability_zone"] = set.zones[it % set.zones.size()];
    node["shards"] = shards_of(set, it);
    node["shards"].SetStyle(YAML::EmitterStyle::Flow);
    return node;
}

std::string to_text(const std::vector<YAML::Node>& documents) {
    std::ostringstream text;
    for (const auto& it : documents) {
        text << "---\n" << YAML::Dump(it) << '\n';
    }
    return text.str();
}

} // namespace

std::string configuration_of(const uniform_set& set) {
    std::vector<YAML::Node> documents;
    for (const auto& zone : set.zones) {
        YAML::Node node;
        node["kind"] = "availability_zone";
        node["name"] = zone;
        documents.push_back(node);
    }
    YAML::Node group;
    group["kind"] = "upstream_group";
    group["name"] = set.group;
    group["slots"] = set.slots;
    group["connections"] = set.connections;
    group["cold_start"]["slots"] = set.cold.slots;
    group["cold_start"]["step"] = set.cold.step;
    group["cold_start"]["interval_ms"] = to_ms(set.cold.interval);
    for (std::size_t it = 0; it < set.searchers; ++it) {
        group["searchers"].push_back(searcher_node(set, it));
    }
    documents.push_back(group);
    return to_text(documents);
}

std::string read_configuration(const std::string& path) {
    if (!std::filesystem::is_directory(path)) {
        return read_file(path);
    }
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(path)) {
        if (it.path().extension() == ".yaml") {
            files.push_back(it.path());
        }
    }
    std::sort(files.begin(), files.end());
    std::string text;
    for (const auto& it : files) {
        text += "---\n" + read_file(it) + "\n";
    }
    return text;
}

std::vector<searcher_options> searchers_in(const std::string& yaml, const searcher_options& base) {
    std::vector<searcher_options> found;
    for (const auto& document : YAML::LoadAll(yaml)) {
        if (!is_group(document)) {
            continue;
        }
        auto options = base;
        options.slots = document["slots"].as<std::uint32_t>(base.slots);
        options.connections = document["connections"].as<std::uint32_t>(base.connections);
        options.cold = read_cold_start(document["cold_start"], base.cold);
        for (const auto& it : document["searchers"]) {
            options.name = it["name"].as<std::string>();
            options.zone = it["availability_zone"].as<std::string>("");
            options.shards = it["shards"].as<std::vector<shard_id>>();
            options.seed = base.seed + found.size();
            found.push_back(options);
        }
    }
    return found;
}

searcher_set::searcher_set(http_loop& loop, const std::vector<searcher_options>& searchers) {
    for (const auto& it : searchers) {
        searchers_.push_back(std::make_unique<searcher_front>(loop, it, 0));
    }
    control_ = std::make_unique<http_front>(
        loop, front_options{},
        [this](const front_request& request, const front_reply& answer) { answer(handle(request)); });
}

searcher_set::~searcher_set() = default;

front_response searcher_set::list() const {
    auto items = nlohmann::json::array();
    for (const auto& it : searchers_) {
        items.push_back({{"name", it->options().name},
                         {"address", it->address()},
                         {"availability_zone", it->options().zone},
                         {"shards", it->options().shards}});
    }
    return {200, nlohmann::json{{"items", std::move(items)}}.dump()};
}

front_response searcher_set::handle(const front_request& request) {
    if (!request.segments.empty() && request.segments[0] == "searchers") {
        return list();
    }
    const auto name = request.argument("searcher");
    const auto zone = request.argument("availability_zone");
    std::string body;
    for (const auto& it : searchers_) {
        if ((!name.empty() && it->options().name != name) || (!zone.empty() && it->options().zone != zone)) {
            continue;
        }
        auto one = it->operate(request);
        if (one.status != 200) {
            return one;
        }
        body += (body.empty() ? "" : ",") + one.body;
    }
    return {200, R"({"items":[)" + body + "]}"};
}

std::string searcher_set::with_addresses(const std::string& yaml) const {
    auto documents = YAML::LoadAll(yaml);
    for (auto& document : documents) {
        if (!is_group(document)) {
            continue;
        }
        for (auto it : document["searchers"]) {
            const auto name = it["name"].as<std::string>();
            const auto found = std::find_if(searchers_.begin(), searchers_.end(), [&](const auto& searcher) {
                return searcher->options().name == name;
            });
            if (found != searchers_.end()) {
                it["address"] = (*found)->address();
            }
        }
    }
    return to_text(documents);
}

} // namespace skylarkseam::standin
