// The one object of the platform that says which configuration is in force, and the codec that the control
// part uses for it. A configuration's body is its canonical text; the head carries it or names its pieces.
#pragma once

#include <skylarkseam/core/configuration.hpp>
#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/platform_object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

inline constexpr std::string_view configuration_kind = "configuration";
inline constexpr std::string_view configuration_name = "current";
inline constexpr std::string_view configuration_piece_kind = "configuration_part";

/// A body longer than this is kept in pieces, so that no value comes near the platform's megabyte.
inline constexpr std::size_t max_inline_body_bytes = 400'000;
/// Bytes of one piece.
inline constexpr std::size_t configuration_piece_bytes = 400'000;

/// How many earlier generations a head names.
inline constexpr std::size_t longest_history = 16;

/// An earlier generation and the attempt that made it.
struct applied_generation {
    generation_id generation = 0;
    std::string token;
    friend bool operator==(const applied_generation&, const applied_generation&) = default;
};

/// Invariant: `body` holds the text, or `pieces` names it in order; never both.
struct configuration_head {
    generation_id generation = 0;
    std::string token;               ///< unique for each attempt to apply
    std::string hash;                ///< content_hash of the whole body
    std::string body;                ///< canonical text; empty where it is in pieces
    std::vector<std::string> pieces; ///< names (content hashes) of configuration_part objects
    /// The generations before this one, the latest first, so that an operator whose answer was lost finds out
    /// even if another change has followed.
    std::vector<applied_generation> history;
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

/// Gathers the body of a head whose pieces are read one by one.
class body_collector {
public:
    explicit body_collector(configuration_head head);

    /// The pieces that nobody has asked for yet, as requests to the platform; each is returned once.
    [[nodiscard]] std::vector<platform_request> take_requests();
    /// Takes one answer; an error means that the body cannot be had from the platform now.
    [[nodiscard]] result<void> add(const platform_response& answer, const configuration_codec& codec);

    /// The whole body once every piece is there; its hash is still to be compared with the head's.
    [[nodiscard]] std::optional<std::string> body() const;
    [[nodiscard]] const configuration_head& head() const { return head_; }

private:
    configuration_head head_;
    bool requested_ = false;
    std::map<std::string, std::string> texts_; ///< by name
};

/// The request that reads the head.
[[nodiscard]] platform_request read_head_request();

/// Cuts a body into pieces of at most configuration_piece_bytes.
[[nodiscard]] std::vector<std::string> split_into_pieces(std::string_view body);

} // namespace skylarkseam
