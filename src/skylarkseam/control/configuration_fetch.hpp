// Fetches one generation from a peer: first the names of its parts, then those that this node lacks.
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

    /// Parts asked for in one message, so that the reply stays well under a frame.
    static constexpr std::size_t parts_in_a_request = 32;

    /// Notes that a peer has a generation. Returns whether a fetch has to be started: none of this generation
    /// or a higher one is under way.
    bool offer(generation_id generation, const std::string& address);
    /// The source did not answer: goes on with the next one, or with the same again, for a few times. False
    /// once the fetch is given up.
    bool retry();
    /// The source is of no use: goes on with the next; false if there is none.
    bool next_source();
    void stop();

    [[nodiscard]] bool running() const { return !source_.empty(); }
    [[nodiscard]] const std::string& source() const { return source_; }
    /// The next message for the source.
    [[nodiscard]] any_configuration_message request() const;
    /// Takes the source's reply. The candidate once it is complete; an error if the source is of no use.
    [[nodiscard]] result<std::optional<configuration_candidate>> take(any_configuration_message reply);

    [[nodiscard]] std::uint64_t fetched() const { return fetched_; }
    [[nodiscard]] std::uint64_t reused() const { return reused_; }

private:
    result<std::optional<configuration_candidate>> take_manifest(configuration_message::manifest manifest);
    result<std::optional<configuration_candidate>> take_parts(configuration_message::parts parts);
    std::optional<configuration_candidate> complete() const;

    const configuration_in_force& in_force_;
    generation_id target_ = 0;
    std::string source_;                   ///< empty while no fetch is under way
    std::deque<std::string> more_sources_; ///< that have the target too
    std::optional<configuration_message::manifest> manifest_;
    std::map<std::string, std::string> texts_; ///< by hash; parts that were fetched
    std::vector<std::string> missing_;
    std::uint32_t retries_ = 0;
    std::uint64_t fetched_ = 0;
    std::uint64_t reused_ = 0;
};

} // namespace skylarkseam
