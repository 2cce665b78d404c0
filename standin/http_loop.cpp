#include "standin/http_loop.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace skylarkseam::standin {
namespace {

constexpr duration longest_wait = seconds(1);
constexpr std::size_t events_at_a_time = 64;

timespec to_timespec(duration value) {
    const auto whole = std::chrono::duration_cast<seconds>(value);
    return {whole.count(), std::chrono::nanoseconds(value - whole).count()};
}

int open_signal_descriptor() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

http_loop::http_loop()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC))
    , signal_fd_(open_signal_descriptor()) {
    if (epoll_fd_ < 0 || signal_fd_ < 0) {
        throw std::runtime_error("cannot open the event loop's descriptors");
    }
    watch(signal_fd_, [this] {
        stopped_ = true;
        return false;
    });
}

http_loop::~http_loop() {
    close(signal_fd_);
    close(epoll_fd_);
}

time_point http_loop::now() const {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

void http_loop::run_at(time_point when, std::function<void()> task) {
    timers_.emplace(when, std::move(task));
}

void http_loop::watch(int fd, std::function<bool()> on_ready) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    if (epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) != 0) {
        throw std::runtime_error("cannot watch a descriptor");
    }
    watched_[fd] = std::move(on_ready);
    again_[fd] = true;
}

void http_loop::unwatch(int fd) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    watched_.erase(fd);
    again_.erase(fd);
}

void http_loop::run() {
    again_.erase(signal_fd_);
    while (!stopped_) {
        run_once(longest_wait);
    }
}

void http_loop::run_once(duration longest) {
    std::array<epoll_event, events_at_a_time> events{};
    const auto wait = to_timespec(wait_time(longest));
    const int n = epoll_pwait2(epoll_fd_, events.data(), static_cast<int>(events.size()), &wait, nullptr);
    auto ready = std::exchange(again_, {});
    for (int it = 0; it < n; ++it) {
        ready[events[static_cast<std::size_t>(it)].data.fd] = true;
    }
    for (const auto& [fd, unused] : ready) {
        const auto found = watched_.find(fd);
        if (found != watched_.end() && found->second()) {
            again_[fd] = true;
        }
    }
    run_due_timers();
}

void http_loop::run_due_timers() {
    const auto limit = now();
    while (!timers_.empty() && timers_.begin()->first <= limit) {
        auto task = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        task();
    }
}

duration http_loop::wait_time(duration longest) const {
    if (!again_.empty()) {
        return duration(0);
    }
    auto wait = longest;
    if (!timers_.empty()) {
        wait = std::min(wait, timers_.begin()->first - now());
    }
    return std::max(wait, duration(0));
}

} // namespace skylarkseam::standin
