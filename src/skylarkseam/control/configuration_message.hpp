// What nodes say to each other about the configuration. Each message is a request with one reply.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

namespace configuration_message {
/// What the sender has in force; the reply is the receiver's own.
struct digest {
    std::string node;
    std::string
        address; ///< of the sender, ip:port for messages between nodes; empty for an operator's command
    generation_id generation = 0;
    std::string hash; ///< of the body; empty with generation 0
    friend bool operator==(const digest&, const digest&) = default;
};
/// Asks for the names of the parts of what the receiver has in force.
struct manifest_request {};
struct manifest {
    generation_id generation = 0;
    std::string token;
    std::string hash;
    std::vector<std::string> parts; ///< content hashes, in order
    friend bool operator==(const manifest&, const manifest&) = default;
};
/// Asks for texts of parts. The reply may hold fewer, none if the receiver has moved on.
struct parts_request {
    std::vector<std::string> parts;
    friend bool operator==(const parts_request&, const parts_request&) = default;
};
struct parts {
    std::vector<std::string> texts;
    friend bool operator==(const parts&, const parts&) = default;
};
/// Asks which nodes the receiver knows; for the command line.
struct peers_request {};
struct peers {
    std::vector<std::string> addresses; ///< ip:port for messages between nodes
    friend bool operator==(const peers&, const peers&) = default;
};
} // namespace configuration_message

using any_configuration_message =
    std::variant<configuration_message::digest, configuration_message::manifest_request,
                 configuration_message::manifest, configuration_message::parts_request,
                 configuration_message::parts, configuration_message::peers_request,
                 configuration_message::peers>;

} // namespace skylarkseam
