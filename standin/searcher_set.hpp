// A set of searcher stand-ins in one process, read from configuration files or made to measure, with one
// control port for all of them.
#pragma once

#include "standin/searcher.hpp"

#include <memory>
#include <string>
#include <vector>

namespace skylarkseam::standin {

/// A set made to measure: `searchers` of them, each shard held by `replicas` ones, zones in turn.
struct uniform_set {
    std::string group = "group";
    std::size_t searchers = 3;
    shard_id shards = 6;
    std::uint32_t replicas = 3;
    std::vector<std::string> zones{"a", "b", "c"};
    std::uint32_t slots = 4;
    std::uint32_t connections = 35;
    cold_start cold;
};

/// The set as configuration documents: its availability zones and one upstream group.
[[nodiscard]] std::string configuration_of(const uniform_set& set);

/// The text of a configuration file, or of all in a folder.
[[nodiscard]] std::string read_configuration(const std::string& path);

/// The searchers of all upstream groups in configuration documents. What these do not say, such as the
/// service time and the snapshots, is taken from `base`.
[[nodiscard]] std::vector<searcher_options> searchers_in(const std::string& yaml,
                                                         const searcher_options& base);

class searcher_set {
public:
    searcher_set(http_loop& loop, const std::vector<searcher_options>& searchers);
    ~searcher_set();
    searcher_set(const searcher_set&) = delete;
    searcher_set& operator=(const searcher_set&) = delete;

    [[nodiscard]] const std::vector<std::unique_ptr<searcher_front>>& searchers() const { return searchers_; }

    /// Answers `GET /searchers`, and `POST /control` and `GET /record` for all, or for one (`?searcher=NAME`)
    /// or those of one zone (`?availability_zone=NAME`).
    [[nodiscard]] std::string control_address() const { return control_->address(); }

    /// The configuration documents with the addresses at which the searchers listen.
    [[nodiscard]] std::string with_addresses(const std::string& yaml) const;

private:
    [[nodiscard]] front_response handle(const front_request& request);
    [[nodiscard]] front_response list() const;

    std::vector<std::unique_ptr<searcher_front>> searchers_;
    std::unique_ptr<http_front> control_;
};

} // namespace skylarkseam::standin
