// Fetches one generation from a peer: first the manifest with the hashes of its parts, then the parts that
// this node does not have.
#pragma once

#include <skylarkseam/control/configuration_in_force.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylarkseam {

class configuration_fetch {
public:
    explicit configuration_fetch(const configuration_in_force& in_force)
        : in_force_(in_force) {}

    /// Maximum number of parts in one request, which keeps the reply well below the maximum frame size.
    static constexpr std::size_t max_parts_per_request = 32;

    /// Records that a peer has a generation. Returns true if the caller must send request() to start a fetch:
    /// the generation is newer than the one in force, and no fetch of it or of a later one is in progress.
    bool add_source(generation_id generation, const std::string& address);
    /// Switches to the next source after a timeout, or stays with the only one. Returns false once the
    /// maximum number of retries is reached, which ends the fetch.
    bool retry();
    /// Drops the current source after an invalid reply and restarts with the next one. Returns false if there
    /// is none, which ends the fetch.
    bool skip_source();
    void stop();

    [[nodiscard]] bool running() const { return !source_.empty(); }
    [[nodiscard]] const std::string& source() const { return source_; }
    /// Returns the next message to send to the source.
    [[nodiscard]] any_configuration_message request() const;
    /// Handles the source's reply. Returns the candidate once all parts are present, or an error if the reply
    /// is invalid.
    [[nodiscard]] result<std::optional<configuration_candidate>>
    handle_reply(any_configuration_message reply);

    [[nodiscard]] std::uint64_t fetched() const { return fetched_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

private:
    result<std::optional<configuration_candidate>> handle_manifest(configuration_message::manifest manifest);
    result<std::optional<configuration_candidate>> handle_parts(configuration_message::parts parts);
    std::optional<configuration_candidate> assemble() const;

    const configuration_in_force& in_force_;
    generation_id target_ = 0; ///< Generation to fetch.
    std::string source_;       ///< Address of the current source; empty if no fetch is in progress.
    std::deque<std::string> alternate_sources_; ///< Addresses of other peers with the target.
    std::optional<configuration_message::manifest> manifest_;
    std::map<std::string, std::string> fetched_texts_; ///< Fetched parts, by hash.
    std::vector<std::string> missing_;                 ///< Hashes of the parts to fetch.
    std::uint32_t retries_ = 0;
    std::uint64_t fetched_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace skylarkseam
