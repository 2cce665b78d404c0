#include <skylarkseam/shell/log_output.hpp>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace skylarkseam {
namespace {

constexpr std::size_t pipe_atom = 4096; ///< a pipe that is writable takes so much without blocking (PIPE_BUF)

bool is_writable(int fd) {
    pollfd one{fd, POLLOUT, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & POLLOUT) != 0;
}

} // namespace

log_output::log_output(int fd, log_bounds bounds)
    : fd_(fd)
    , bounds_(bounds)
    , usual_{bounds.burst, {}}
    , important_{bounds.burst, {}} {}

bool log_output::allowance::take(const log_bounds& bounds, time_point now) {
    if (filled != time_point{}) {
        const auto passed = std::chrono::duration<double>(now - filled).count();
        lines = std::min(bounds.burst, lines + passed * bounds.lines_per_second);
    }
    filled = now;
    if (lines < 1.0) {
        return false;
    }
    lines -= 1.0;
    return true;
}

void log_output::add(std::string_view line, bool important, time_point now) {
    auto& allowed = important ? important_ : usual_;
    if (buffer_.size() + line.size() + 1 > bounds_.buffer_bytes || !allowed.take(bounds_, now)) {
        ++left_out_;
        return;
    }
    if (left_out_ > left_out_told_) {
        buffer_ += "event=log_left_out lines=" + std::to_string(left_out_ - left_out_told_) + '\n';
        left_out_told_ = left_out_;
    }
    buffer_.append(line).push_back('\n');
}

void log_output::flush() {
    std::size_t written = 0;
    while (written < buffer_.size() && is_writable(fd_)) {
        const auto n = ::write(fd_, buffer_.data() + written, std::min(pipe_atom, buffer_.size() - written));
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            break; // nobody can be told of a log that cannot be written; the lines stay for the next try
        }
        written += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, written);
}

} // namespace skylarkseam
