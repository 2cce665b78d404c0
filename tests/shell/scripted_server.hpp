// A server on loopback that answers each request with the bytes that a test states, whole or not.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace skylarkseam {

/// An address of this machine at which nothing listens.
inline std::string unused_address() {
    const int fd = open_listener("127.0.0.1:0");
    auto address = bound_address(fd);
    ::close(fd);
    return address;
}

class scripted_server {
public:
    /// What is sent for one request.
    struct reply {
        std::string bytes;
        bool close = false; ///< in order, after the bytes
        bool reset = false; ///< without an end, after the bytes
        /// Bytes that are sent first; the client has read them before the rest is sent. 0: all at once.
        std::size_t first_bytes = 0;
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

    /// Resets every open connection.
    void reset_all() {
        while (!connections_.empty()) {
            end(connections_.begin()->first, true);
        }
    }

    int accepted = 0;
    bool reset_new_connections = false;     ///< as a server that is over its limit of connections
    duration reset_after = milliseconds(5); ///< From accepting a connection until its reset
    std::vector<std::string> requests;

private:
    void accept_one() {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        ++accepted;
        if (reset_new_connections) {
            loop_.run_after(reset_after, [fd] {
                const linger at_once{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
                ::close(fd);
            });
            return;
        }
        connections_[fd];
        open_[fd] = std::make_shared<bool>(true);
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
        if (answer.first_bytes == 0 || answer.first_bytes >= answer.bytes.size()) {
            send_rest(fd, answer, 0);
            return;
        }
        ::send(fd, answer.bytes.data(), answer.first_bytes, MSG_NOSIGNAL);
        // A later connection may get the same descriptor.
        loop_.run_after(pause_between_pieces, [this, fd, answer, alive = std::weak_ptr<bool>(open_[fd])] {
            if (alive.lock()) {
                send_rest(fd, answer, answer.first_bytes);
            }
        });
    }

    void send_rest(int fd, const reply& answer, std::size_t from) {
        ::send(fd, answer.bytes.data() + from, answer.bytes.size() - from, MSG_NOSIGNAL);
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
        open_.erase(fd);
    }

    /// Longer than the loop needs to deliver the first piece to the client.
    static constexpr duration pause_between_pieces = microseconds(1500);

    event_loop& loop_;
    std::function<reply(const std::string&)> script_;
    int fd_;
    std::map<int, std::shared_ptr<bool>> open_; ///< Expires with the connection
    std::map<int, std::string> connections_;

public:
    const std::string address;
};

} // namespace skylarkseam
