// Distributes requests over weighted parts so that every short run of them has the weights' proportions.
#pragma once

#include <skylarkseam/gateway/routing.hpp>

#include <vector>

namespace skylarkseam {

class traffic_split {
public:
    /// The part that gets the next request. \param offset  0 to 1: where a host begins, so that hosts with
    /// few requests do not all begin with the same part
    std::size_t next(const weighted_split& plan, double offset);

private:
    std::vector<double> weights_;
    std::vector<double> credit_; ///< sums to 0
};

} // namespace skylarkseam
