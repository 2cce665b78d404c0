// A small deployment on loopback: the platform and searcher stand-ins and some nodes, all real processes.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/shell/http_client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tests/end_to_end/child_process.hpp>

namespace skylarkseam::testing {

struct deployment_size {
    int nodes = 3;
    int searchers = 12;
    shard_id shards = 6;
    int replicas = 2;
};

class deployment {
public:
    /// Starts everything and applies a configuration with the services "search" (idempotent) and "billing"
    /// (not idempotent).
    explicit deployment(deployment_size size = {});
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Sends a request; `on_answer` comes while run_until() or fetch() runs.
    void send(http_request request, std::function<void(http_response)> on_answer);
    http_response fetch(http_request request);

    /// A query to a node as a caller sends it.
    [[nodiscard]] http_request query(const std::string& node, const std::string& service,
                                     const std::string& caller, const std::string& request_id,
                                     const std::string& query_json) const;

    bool run_until(const std::function<bool()>& done);

    /// Runs one of the operators' commands; its exit code.
    int command(const std::vector<std::string>& args);
    [[nodiscard]] std::string command_output() const { return command_output_; }

    child_process& start_node(const std::string& name, const std::string& zone);
    [[nodiscard]] child_process& node(const std::string& name) { return *nodes_.at(name).process; }
    /// Waits until the node's health endpoint says it takes work, and the owners of all searchers know what
    /// these hold: until then its answers are partial, and say so.
    bool wait_until_ready(const std::string& name);

    [[nodiscard]] std::string callers_address(const std::string& name) const {
        return nodes_.at(name).callers;
    }
    [[nodiscard]] std::string admin_address(const std::string& name) const { return nodes_.at(name).admin; }
    [[nodiscard]] std::string peers_address(const std::string& name) const { return nodes_.at(name).peers; }
    [[nodiscard]] std::string platform_url() const { return "http://" + platform_address_; }
    [[nodiscard]] std::string searchers_url() const { return "http://" + control_address_; }
    [[nodiscard]] std::string folder() const { return folder_; }

private:
    struct node_process {
        std::unique_ptr<child_process> process;
        std::string callers;
        std::string admin;
        std::string peers;
    };

    [[nodiscard]] bool answers_whole(const std::string& name);
    [[nodiscard]] std::string path(const std::string& name) const { return folder_ + "/" + name; }

    std::string folder_;
    event_loop loop_;
    http_client http_{loop_};
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> searchers_;
    std::map<std::string, node_process> nodes_;
    std::string platform_address_;
    std::string control_address_;
    std::string command_output_;
    int commands_ = 0;
};

} // namespace skylarkseam::testing
