#include <skylarkseam/core/circuit_breaker.hpp>

#include <algorithm>

namespace skylarkseam {

bool circuit_breaker::allows(time_point now) const {
    return !open() || now >= retry_at_;
}

void circuit_breaker::on_send(time_point now) {
    if (open()) {
        retry_at_ = now + backoff_;
    }
}

void circuit_breaker::on_success() {
    consecutive_failures_ = 0;
    backoff_ = initial_backoff;
}

void circuit_breaker::on_failure(time_point now) {
    ++consecutive_failures_;
    if (!open()) {
        return;
    }
    retry_at_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, max_backoff);
}

} // namespace skylarkseam
