// Messages about the configuration between nodes. Each request has exactly one reply.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

namespace configuration_message {
/// Configuration in force at the sender. The reply is the receiver's own digest.
struct digest {
    std::string node;
    /// Address of the sender for messages between nodes, as ip:port; empty in a request of the command line.
    std::string address;
    generation_id generation = 0;
    std::string hash; ///< Hash of the body; empty with generation 0.
    friend bool operator==(const digest&, const digest&) = default;
};
/// Requests the hashes of the parts of the configuration in force at the receiver.
struct manifest_request {};
/// List of the parts that make up one generation.
struct manifest {
    generation_id generation = 0;
    std::string token;
    std::string hash;
    std::vector<std::string> parts; ///< Content hashes, in the order of the body.
    friend bool operator==(const manifest&, const manifest&) = default;
};
/// Requests the texts of parts by their hashes. The reply ends before the first part that the receiver no
/// longer has or that would make the reply too large.
struct parts_request {
    std::vector<std::string> parts;
    friend bool operator==(const parts_request&, const parts_request&) = default;
};
struct parts {
    std::vector<std::string> texts;
    friend bool operator==(const parts&, const parts&) = default;
};
/// Requests the addresses of the nodes that the receiver has as peers; sent by the command line.
struct peers_request {};
struct peers {
    std::vector<std::string> addresses; ///< Addresses for messages between nodes, as ip:port.
    friend bool operator==(const peers&, const peers&) = default;
};
} // namespace configuration_message

using any_configuration_message =
    std::variant<configuration_message::digest, configuration_message::manifest_request,
                 configuration_message::manifest, configuration_message::parts_request,
                 configuration_message::parts, configuration_message::peers_request,
                 configuration_message::peers>;

} // namespace skylarkseam
