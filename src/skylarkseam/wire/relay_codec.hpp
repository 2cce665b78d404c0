// Encoding of the messages with which a gateway passes a client's request on to another one, in MessagePack.
// The reply has two frames: whether the request is accepted, and the answer. Behind the answer, in its frame,
// stands what is known of the request's execution, which earlier builds neither append nor read.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/exchange.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

struct relay_request {
    std::uint64_t config_version = 0; ///< The receiver declines if it knows only an older configuration
    duration time_left{};
    std::uint32_t max_attempts = 1; ///< Number of searchers that may get it
    std::string method;
    std::string target; ///< As the client wrote it, with the query string
    std::string path;   ///< Without the query string
    std::vector<header_field> headers;
    std::string body;
};

struct relay_decision {
    bool accepted = false;
    std::string reason; ///< Why the request is declined
};

/// Asks whether the receiver takes requests of others. A build without this message answers 404.
struct relay_question {
    std::uint64_t config_version = 0; ///< Configuration that the receiver must have
};

[[nodiscard]] std::string encode(const relay_question& question);
[[nodiscard]] std::string encode(const relay_offer& offer);
[[nodiscard]] result<relay_question> decode_relay_question(std::string_view bytes);
[[nodiscard]] result<relay_offer> decode_relay_offer(std::string_view bytes);

[[nodiscard]] std::string encode(const relay_request& request);
[[nodiscard]] std::string encode(const relay_decision& decision);
[[nodiscard]] std::string encode(const gateway_answer::relayed& answer);

[[nodiscard]] result<relay_request> decode_relay_request(std::string_view bytes);
[[nodiscard]] result<relay_decision> decode_relay_decision(std::string_view bytes);
[[nodiscard]] result<gateway_answer::relayed> decode_relayed_answer(std::string_view bytes);

} // namespace skylarkseam
