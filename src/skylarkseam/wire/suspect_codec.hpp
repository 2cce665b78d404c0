// Encoding of the messages between gateways about requests that crash searchers, in MessagePack.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/gateway/crash_suspects.hpp>

#include <string>
#include <string_view>

namespace skylarkseam {

struct suspect_message {
    std::string sender; ///< Address (ip:port) on which other gateways reach the sender
    bool ask = false;   ///< Whether the receiver answers with everything that it knows
    std::vector<suspect_report> reports;
};

[[nodiscard]] std::string encode(const suspect_message& message);
[[nodiscard]] result<suspect_message> decode_suspect_message(std::string_view bytes);

} // namespace skylarkseam
