// Configuration in force at a node (its active configuration), with its canonical text split into parts for
// peers.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/control/configuration_message.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace skylarkseam {

/// Generation received from a source, before validation.
struct configuration_candidate {
    generation_id generation = 0;
    std::string token;
    std::string hash;
    std::string body;
    std::string source; ///< Either "platform" or the address of a peer.
};

/// Invariant: the generation never decreases, and the installed configuration has passed validation.
class configuration_in_force {
public:
    explicit configuration_in_force(const configuration_codec& codec)
        : codec_(codec) {}

    /// Validates a candidate and puts it in force. Returns false if its generation is not higher than the
    /// current one, and an error if the validation fails.
    [[nodiscard]] result<bool> install(configuration_candidate candidate);

    [[nodiscard]] generation_id generation() const { return installed_.generation; }
    [[nodiscard]] const std::string& hash() const { return installed_.hash; }
    [[nodiscard]] const std::string& token() const { return installed_.token; }
    [[nodiscard]] std::shared_ptr<const configuration> config() const { return config_; }

    [[nodiscard]] configuration_message::manifest manifest() const;
    /// Returns the text of the part with this hash; empty if there is none.
    [[nodiscard]] std::string_view part(const std::string& hash) const;

private:
    const configuration_codec& codec_;
    configuration_candidate installed_;
    std::shared_ptr<const configuration> config_;
    std::vector<std::string> part_hashes_;          ///< Hashes of the parts, in the order of the body.
    std::map<std::string, std::string_view> parts_; ///< Parts of `installed_.body`, by hash.
};

} // namespace skylarkseam
