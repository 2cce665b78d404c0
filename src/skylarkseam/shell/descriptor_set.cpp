#include <skylarkseam/shell/descriptor_set.hpp>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <sys/epoll.h>
#include <unistd.h>

namespace skylarkseam {
namespace {

constexpr int events_in_one_wait = 64;
constexpr unsigned generation_shift = 32;

} // namespace

descriptor_set::descriptor_set()
    : fd_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (fd_ < 0) {
        throw std::runtime_error(std::string("epoll_create1 failed: ") + std::strerror(errno));
    }
}

descriptor_set::~descriptor_set() {
    ::close(fd_);
}

void descriptor_set::watch(int fd, readiness interest, callback on_ready) {
    const auto n = static_cast<std::size_t>(fd);
    if (n >= entries_.size()) {
        entries_.resize(n + 1);
    }
    auto& it = entries_[n];
    const int operation = it.watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (!it.watched) {
        ++it.generation;
    }
    epoll_event event{};
    event.events = (interest.readable ? EPOLLIN : 0U) | (interest.writable ? EPOLLOUT : 0U);
    event.data.u64 = (std::uint64_t{it.generation} << generation_shift) | static_cast<std::uint32_t>(fd);
    if (::epoll_ctl(fd_, operation, fd, &event) != 0) {
        throw std::runtime_error("epoll_ctl refused descriptor " + std::to_string(fd) + ": " +
                                 std::strerror(errno));
    }
    it.watched = true;
    it.on_ready = std::make_shared<callback>(std::move(on_ready));
}

void descriptor_set::unwatch(int fd) {
    const auto n = static_cast<std::size_t>(fd);
    if (n >= entries_.size() || !entries_[n].watched) {
        return;
    }
    // The descriptor may be closed already, and has then left the set.
    ::epoll_ctl(fd_, EPOLL_CTL_DEL, fd, nullptr);
    entries_[n].watched = false;
    entries_[n].on_ready.reset();
}

void descriptor_set::dispatch() {
    std::array<epoll_event, events_in_one_wait> events{};
    const int n = ::epoll_wait(fd_, events.data(), events_in_one_wait, 0);
    for (int i = 0; i < n; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        const auto fd = static_cast<std::size_t>(static_cast<std::uint32_t>(event.data.u64));
        const auto generation = static_cast<std::uint32_t>(event.data.u64 >> generation_shift);
        // An earlier callback of this turn may have ended the watch, or given the number to another one.
        if (!entries_[fd].watched || entries_[fd].generation != generation) {
            continue;
        }
        const auto on_ready = entries_[fd].on_ready;
        const bool ended = (event.events & (EPOLLHUP | EPOLLERR)) != 0;
        // A hang-up reaches the owner as readable: its read reports the end.
        (*on_ready)({ended || (event.events & EPOLLIN) != 0, (event.events & EPOLLOUT) != 0});
    }
}

} // namespace skylarkseam
