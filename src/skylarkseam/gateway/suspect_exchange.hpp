// Spread of what one gateway learns about requests that crash searchers to all others. A gateway tells its
// neighbours: the one that it follows and those that follow it. Each of them passes on what is new to it, so
// that a report crosses the zones along the ring of the gateways that watch the store. A gateway that has
// just started asks the one that it follows for everything.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct suspect_call {
    std::string address;
    std::uint64_t after = 0; ///< The changes after this one are sent
    std::uint64_t upto = 0;  ///< Last change that is sent
    bool ask = false;        ///< Whether the neighbour answers with everything that it knows
};

/// Decides which neighbours are told what. Invariant: at most one call to a neighbour is open.
class suspect_exchange {
public:
    /// Sets the gateways that this one follows or is followed by.
    /// \param followed  address of the followed one; empty if there is none
    void set_neighbours(const std::string& followed, const std::vector<std::string>& followers,
                        time_point now);
    /// Handles a restart of a neighbour, which has forgotten what it was told.
    void note_restart(const std::string& address, time_point now);
    /// Handles a call of a neighbour that was answered with everything known up to change `upto`.
    void note_told(const std::string& address, std::uint64_t upto);

    /// \param latest  number of the last change that this gateway knows
    void take_calls(std::uint64_t latest, time_point now, std::vector<suspect_call>& out);
    void take_answer(const suspect_call& call, bool answered, time_point now);

    [[nodiscard]] std::optional<time_point> next_wakeup(std::uint64_t latest) const;

private:
    struct neighbour {
        std::uint64_t told = 0; ///< Last change that the neighbour knows
        bool ask = false;
        bool open = false;
        std::uint32_t failures = 0;
        time_point due{};
    };

    std::map<std::string, neighbour> neighbours_; ///< Keyed by address
};

} // namespace skylarkseam
