#include <skylarkseam/core/circuit_breaker.hpp>

#include <algorithm>

namespace skylarkseam {

bool breaker::allows(time_point now) const {
    return !open() || now >= retry_at_;
}

void breaker::on_send(time_point now) {
    if (open()) {
        retry_at_ = now + pause_;
    }
}

void breaker::on_success() {
    failures_ = 0;
    pause_ = first_pause;
}

void breaker::on_failure(time_point now) {
    ++failures_;
    if (!open()) {
        return;
    }
    retry_at_ = now + pause_;
    pause_ = std::min(pause_ * 2, longest_pause);
}

} // namespace skylarkseam
