#include <skylarkseam/gateway/traffic_split.hpp>

#include <algorithm>

namespace skylarkseam {

std::size_t traffic_split::next(const weighted_split& plan, double offset) {
    std::vector<double> weights;
    double total = 0.0;
    for (const auto& it : plan.parts) {
        weights.push_back(it.weight);
        total += it.weight;
    }
    if (weights != weights_) {
        weights_ = weights;
        credit_.assign(weights.size(), 0.0);
        // The offset moves credit only between the first and the last part, so that the sum stays 0.
        if (credit_.size() > 1) {
            credit_.front() += (offset - 0.5) * total;
            credit_.back() -= (offset - 0.5) * total;
        }
    }
    for (std::size_t n = 0; n < credit_.size(); ++n) {
        credit_[n] += weights_[n];
    }
    const auto best = std::max_element(credit_.begin(), credit_.end());
    *best -= total;
    return static_cast<std::size_t>(best - credit_.begin());
}

} // namespace skylarkseam
