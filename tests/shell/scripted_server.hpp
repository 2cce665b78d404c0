// A server on loopback that answers each request with the bytes that a test states, whole or not.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <functional>
#include <map>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace skylarkseam {

class scripted_server {
public:
    /// What is sent for one request.
    struct reply {
        std::string bytes;
        bool close = false; ///< in order, after the bytes
        bool reset = false; ///< without an end, after the bytes
    };

    explicit scripted_server(event_loop& loop, std::function<reply(const std::string& request)> script)
        : loop_(loop)
        , script_(std::move(script))
        , fd_(open_listener("127.0.0.1:0"))
        , address(bound_address(fd_)) {
        loop_.watch(fd_, {true, false}, [this](readiness) { accept_one(); });
    }
    ~scripted_server() {
        for (const auto& [fd, text] : connections_) {
            loop_.unwatch(fd);
            ::close(fd);
        }
        loop_.unwatch(fd_);
        ::close(fd_);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Sends bytes that nobody asked for on every open connection.
    void send_unasked(const std::string& bytes) {
        for (const auto& [fd, text] : connections_) {
            ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
    }

    int accepted = 0;
    std::vector<std::string> requests;

private:
    void accept_one() {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        ++accepted;
        connections_[fd];
        loop_.watch(fd, {true, false}, [this, fd](readiness) { read(fd); });
    }

    void read(int fd) {
        char buf[4096]; // NOLINT(modernize-avoid-c-arrays)
        const auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0) {
            end(fd, false);
            return;
        }
        auto& text = connections_[fd];
        text.append(buf, static_cast<std::size_t>(n));
        if (text.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        requests.push_back(text);
        text.clear();
        const auto answer = script_(requests.back());
        ::send(fd, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
        if (answer.close || answer.reset) {
            end(fd, answer.reset);
        }
    }

    void end(int fd, bool reset) {
        if (reset) {
            const linger at_once{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        loop_.unwatch(fd);
        ::close(fd);
        connections_.erase(fd);
    }

    event_loop& loop_;
    std::function<reply(const std::string&)> script_;
    int fd_;
    std::map<int, std::string> connections_;

public:
    const std::string address;
};

} // namespace skylarkseam
