// Finds the other nodes by asking the seeds and whoever they name.
#pragma once

#include <skylarkseam/core/ownership.hpp>
#include <skylarkseam/shell/peer_transport.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace skylarkseam {

class peer_directory {
public:
    /// \param on_change  gets all members, this node included, by name
    peer_directory(event_loop& loop, peer_client& peers, peer_server& server, member self,
                   std::vector<std::string> seeds, std::function<void(const std::vector<member>&)> on_change);

private:
    struct known {
        member who;
        time_point heard{};
    };

    void ask_all();
    void learn(const std::string& body);
    void report_changes();
    [[nodiscard]] std::string introduction() const;

    event_loop& loop_;
    peer_client& peers_;
    member self_;
    std::vector<std::string> seeds_;
    std::function<void(const std::vector<member>&)> on_change_;
    std::map<std::string, known> known_;
    std::vector<member> reported_;
};

} // namespace skylarkseam
