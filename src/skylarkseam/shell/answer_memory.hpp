// Bounds the memory of the answers that a process is reading, on all its connections together.
#pragma once

#include <cstddef>

namespace skylarkseam {

/// Invariant: `held` is the sum of what the unfinished answers hold.
class answer_memory {
public:
    /// \param limit  bytes of all unfinished answers
    explicit answer_memory(std::size_t limit)
        : limit_(limit) {}

    /// Counts that an answer now holds `after` bytes instead of `before`. Returns false if that is too much.
    /// A small answer is never too much, so that large ones cannot keep it out.
    [[nodiscard]] bool resize(std::size_t before, std::size_t after) {
        held_ += after;
        held_ -= before;
        return held_ <= limit_ || after <= small_answer_bytes;
    }
    void release(std::size_t bytes) { held_ -= bytes; }

    [[nodiscard]] std::size_t held() const { return held_; }

    static constexpr std::size_t small_answer_bytes = 64U << 10U;

private:
    std::size_t limit_;
    std::size_t held_ = 0;
};

} // namespace skylarkseam
