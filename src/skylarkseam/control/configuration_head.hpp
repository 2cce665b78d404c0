// The one object of the platform that says which configuration is in force, and the codec that the control
// part uses for it. A configuration's body is its canonical text; the head carries it or names its pieces.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/error.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

inline constexpr std::string_view configuration_kind = "configuration";
inline constexpr std::string_view configuration_name = "current";
inline constexpr std::string_view configuration_part_kind = "configuration_part";

/// A body longer than this is kept in pieces, so that no value comes near the platform's megabyte.
inline constexpr std::size_t longest_inline_body = 400'000;
/// Bytes of one piece.
inline constexpr std::size_t configuration_piece_bytes = 400'000;

/// Invariant: `body` holds the text, or `pieces` names it in order; never both.
struct configuration_head {
    generation_id generation = 0;
    std::string token;               ///< unique for each attempt to apply
    std::string hash;                ///< content_hash of the whole body
    std::string body;                ///< canonical text; empty where it is in pieces
    std::vector<std::string> pieces; ///< names (content hashes) of configuration_part objects
    friend bool operator==(const configuration_head&, const configuration_head&) = default;
};

/// Codec of what the platform stores. Decoding checks everything again; errors are invalid_configuration.
struct configuration_codec {
    result<configuration_head> (*decode_head)(std::string_view value_json);
    std::string (*encode_head)(const configuration_head& head);
    /// \param generation  which the result carries
    result<std::shared_ptr<const configuration>> (*decode_body)(std::string_view body,
                                                                generation_id generation);
    std::string (*encode_body)(const configuration& config);
    result<std::string> (*decode_piece)(std::string_view value_json);
    std::string (*encode_piece)(std::string_view text);
};

/// Cuts a body into pieces of at most configuration_piece_bytes.
[[nodiscard]] std::vector<std::string> split_body(std::string_view body);

} // namespace skylarkseam
