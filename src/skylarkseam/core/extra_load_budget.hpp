// Shared budget for hedged requests and retries: a token bucket to which each first attempt adds a fraction
// of a token.
#pragma once

#include <algorithm>
#include <cstdint>

namespace skylarkseam {

/// Token bucket that limits extra attempts (hedges and retries).
/// Invariant: extra attempts <= first attempts * percent / 100 + initial_tokens.
class extra_load_budget {
public:
    void on_first_attempt(double percent) { tokens_ = std::min(max_tokens, tokens_ + percent / 100.0); }

    /// Returns the token of an extra attempt that did not reach an upstream.
    void refund() { tokens_ = std::min(max_tokens, tokens_ + 1.0); }

    [[nodiscard]] bool try_spend() {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    [[nodiscard]] double tokens() const { return tokens_; }

private:
    /// Allows a service with little traffic to retry its first queries.
    static constexpr double initial_tokens = 3.0;
    static constexpr double max_tokens = 200.0;

    double tokens_ = initial_tokens;
};

} // namespace skylarkseam
