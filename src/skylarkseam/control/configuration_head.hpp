// The head is the object in the platform's store that identifies the configuration in force. A
// configuration's body is its canonical text; the head contains the body, or lists the names of the pieces
// that hold it.
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

/// Maximum size of a body inside the head. A longer body is stored in pieces, so that every value stays well
/// below the platform's limit of one megabyte.
inline constexpr std::size_t max_inline_body_bytes = 400'000;
/// Maximum size of a piece. Pieces are the units of storage in the platform; peers exchange smaller units,
/// called parts (see body_parts.hpp).
inline constexpr std::size_t configuration_piece_bytes = 400'000;

/// Maximum number of earlier generations in a head.
inline constexpr std::size_t max_history_size = 16;

/// Earlier generation, with the token of the attempt that wrote it.
struct applied_generation {
    generation_id generation = 0;
    std::string token;
    friend bool operator==(const applied_generation&, const applied_generation&) = default;
};

/// Invariant: either `body` holds the text, or `pieces` lists the names of its pieces in order; never both.
struct configuration_head {
    generation_id generation = 0;
    std::string token;               ///< Unique token of the attempt that wrote this head.
    std::string hash;                ///< Result of content_hash for the whole body.
    std::string body;                ///< Canonical text; empty if it is stored in pieces.
    std::vector<std::string> pieces; ///< Names of the piece objects, which are their content hashes.
    /// Earlier generations, the latest first. An operator who lost the answer to a write finds the result
    /// here, even after later changes.
    std::vector<applied_generation> history;
    friend bool operator==(const configuration_head&, const configuration_head&) = default;
};

/// Codec of the values in the platform's store. Decoding validates the whole value; its errors have the kind
/// invalid_configuration.
struct configuration_codec {
    result<configuration_head> (*decode_head)(std::string_view value_json);
    std::string (*encode_head)(const configuration_head& head);
    /// \param generation  Generation that is set in the result.
    result<std::shared_ptr<const configuration>> (*decode_body)(std::string_view body,
                                                                generation_id generation);
    std::string (*encode_body)(const configuration& config);
    result<std::string> (*decode_piece)(std::string_view value_json);
    std::string (*encode_piece)(std::string_view text);
};

/// Assembles a body from the pieces that a head lists.
class body_collector {
public:
    explicit body_collector(configuration_head head);

    /// Returns the requests that read the pieces, one for each name, in the first call; later calls return
    /// none.
    [[nodiscard]] std::vector<platform_request> take_requests();
    /// Adds the piece in one answer. After an error the body cannot be assembled; the head has to be read
    /// again.
    [[nodiscard]] result<void> add(const platform_response& answer, const configuration_codec& codec);

    /// Returns the body once all pieces are present. The caller still has to compare its hash with the
    /// head's.
    [[nodiscard]] std::optional<std::string> body() const;
    [[nodiscard]] const configuration_head& head() const { return head_; }

private:
    configuration_head head_;
    bool requested_ = false;
    std::map<std::string, std::string> texts_; ///< Texts of the pieces, by name.
};

/// Returns the request that reads the head.
[[nodiscard]] platform_request read_head_request();

/// Splits a body into pieces of at most configuration_piece_bytes.
[[nodiscard]] std::vector<std::string> split_into_pieces(std::string_view body);

} // namespace skylarkseam
