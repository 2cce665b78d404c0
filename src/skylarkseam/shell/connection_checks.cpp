#include <skylarkseam/shell/connection_checks.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkseam {

connection_checks::connection_checks(event_loop& loop, handler on_result)
    : loop_(loop)
    , on_result_(std::move(on_result)) {}

connection_checks::~connection_checks() {
    for (auto& [id, it] : open_) {
        loop_.cancel(it.timer);
        if (it.fd >= 0) {
            loop_.unwatch(it.fd);
            ::close(it.fd);
        }
    }
}

void connection_checks::start(std::uint64_t id, const std::string& address, duration timeout) {
    auto& it = open_[id];
    it.fd = start_connection(address);
    const auto failed = it.fd < 0 ? errno : 0;
    const auto result = failed == ECONNREFUSED ? check_result::refused : check_result::no_answer;
    it.timer =
        loop_.run_after(failed == 0 ? timeout : duration::zero(), [this, id, result] { finish(id, result); });
    if (it.fd >= 0) {
        loop_.watch(it.fd, {false, true}, [this, id](readiness) { on_ready(id); });
    }
}

void connection_checks::on_ready(std::uint64_t id) {
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(found->second.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == ECONNREFUSED) {
        finish(id, check_result::refused);
        return;
    }
    if (error != 0) {
        finish(id, check_result::no_answer);
        return;
    }
    sockaddr_in peer{};
    socklen_t peer_size = sizeof peer;
    if (::getpeername(found->second.fd, reinterpret_cast<sockaddr*>(&peer), &peer_size) == 0) {
        finish(id, check_result::accepted);
    }
}

void connection_checks::finish(std::uint64_t id, check_result result) {
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    const auto it = found->second;
    open_.erase(found);
    loop_.cancel(it.timer);
    if (it.fd >= 0) {
        loop_.unwatch(it.fd);
        ::close(it.fd);
    }
    on_result_(id, result);
}

} // namespace skylarkseam
