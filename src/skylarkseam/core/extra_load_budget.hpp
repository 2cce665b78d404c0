// The one budget from which hedges and retries are paid: a token bucket that first attempts fill.
#pragma once

#include <algorithm>
#include <cstdint>

namespace skylarkseam {

/// Invariant: extra attempts paid <= first attempts * percent / 100 + the start allowance.
class extra_load_budget {
public:
    void on_first_attempt(double percent) { tokens_ = std::min(most_tokens, tokens_ + percent / 100.0); }

    /// An attempt that never reached an upstream is given back.
    void give_back() { tokens_ = std::min(most_tokens, tokens_ + 1.0); }

    [[nodiscard]] bool try_spend() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    [[nodiscard]] double tokens() const { return tokens_; }

private:
    static constexpr double start_allowance = 3.0; ///< so that a quiet service can retry its first queries
    static constexpr double most_tokens = 200.0;

    double tokens_ = start_allowance;
};

} // namespace skylarkseam
