// Encoding of the messages between gateways in MessagePack.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/gateway/peer_group.hpp>
#include <skylarkseam/gateway/store_replica.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

/// Long-poll request to a gateway for the updates of its store replica after `position`. If there are none,
/// the gateway may delay its reply for up to `wait`.
struct follow_request {
    group_view view;
    replica_position position;
    duration wait{};
};

struct follow_reply {
    group_view view;
    replica_update update;
};

/// Long-poll request to the second source of a zone for the registrations after a store revision. Its reply
/// is a replica_update that holds nothing else.
struct searchers_request {
    gateway_identity sender;
    searchers_position position;
    duration wait{};
};

[[nodiscard]] std::string encode(const group_view& view);
[[nodiscard]] std::string encode(const follow_request& request);
[[nodiscard]] std::string encode(const follow_reply& reply);
[[nodiscard]] std::string encode(const searchers_request& request);
[[nodiscard]] std::string encode(const replica_update& update);

[[nodiscard]] result<group_view> decode_group_view(std::string_view bytes);
[[nodiscard]] result<follow_request> decode_follow_request(std::string_view bytes);
[[nodiscard]] result<follow_reply> decode_follow_reply(std::string_view bytes);
[[nodiscard]] result<searchers_request> decode_searchers_request(std::string_view bytes);
[[nodiscard]] result<replica_update> decode_replica_update(std::string_view bytes);

} // namespace skylarkseam
