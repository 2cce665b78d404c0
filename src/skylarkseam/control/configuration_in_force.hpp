// The configuration that a node has in force, with its canonical text cut into parts for peers.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/control/configuration_message.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace skylarkseam {

/// One generation as a source gave it, not yet checked.
struct configuration_candidate {
    generation_id generation = 0;
    std::string token;
    std::string hash;
    std::string body;
    std::string source; ///< "platform" or the peer's address
};

/// Invariant: the generation never falls, and what is held has passed every check.
class configuration_in_force {
public:
    explicit configuration_in_force(const configuration_codec& codec)
        : codec_(codec) {}

    /// Puts a candidate in force: false if its generation is not higher; an error if it fails its checks.
    [[nodiscard]] result<bool> install(configuration_candidate candidate);

    [[nodiscard]] generation_id generation() const { return held_.generation; }
    [[nodiscard]] const std::string& hash() const { return held_.hash; }
    [[nodiscard]] const std::string& token() const { return held_.token; }
    [[nodiscard]] std::shared_ptr<const configuration> config() const { return config_; }

    [[nodiscard]] configuration_message::manifest manifest() const;
    /// The text of a part; empty if there is none of that name.
    [[nodiscard]] std::string_view part(const std::string& hash) const;

private:
    const configuration_codec& codec_;
    configuration_candidate held_;
    std::shared_ptr<const configuration> config_;
    std::vector<std::string> part_order_;
    std::map<std::string, std::string_view> parts_; ///< into held_.body
};

} // namespace skylarkseam
