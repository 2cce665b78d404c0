// What the load tool sends and when: open-loop arrivals from a fixed seed. Pure.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam::standin {

/// One kind of request in the mix.
struct load_kind {
    std::string caller;
    std::string service;
    std::string cls; ///< empty: the service's own
    double weight = 1.0;
};

/// Reads caller:service[:class][=weight]; throws std::invalid_argument.
[[nodiscard]] load_kind parse_load_kind(std::string_view text);

struct load_arrival {
    duration at{};        ///< since the start
    std::size_t kind = 0; ///< index in the mix
    std::uint64_t number = 0;
};

/// Draws arrivals at a mean rate, with exponential times between them.
class load_plan {
public:
    /// \param rate_per_s  mean arrivals a second, more than 0
    load_plan(const std::vector<load_kind>& mix, double rate_per_s, std::uint64_t seed);

    [[nodiscard]] load_arrival next();

private:
    pcg64 random_;
    std::exponential_distribution<double> gap_s_;
    std::discrete_distribution<std::size_t> kind_;
    double at_s_ = 0.0;
    std::uint64_t number_ = 0;
};

} // namespace skylarkseam::standin
