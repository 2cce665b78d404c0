// Distributes requests over weighted parts so that every short sequence of requests matches the weights.
#pragma once

#include <skylarkseam/gateway/routing.hpp>

#include <vector>

namespace skylarkseam {

class traffic_split {
public:
    /// Returns the index of the part that gets the next request.
    /// \param offset  start position from 0 to 1, different per host, so that hosts with few requests do not
    /// all start with the same part
    std::size_t next(const weighted_split& plan, double offset);

private:
    std::vector<double> weights_;
    std::vector<double> credit_; ///< Credit of each part; the sum is 0.
};

} // namespace skylarkseam
