// Connections that end at each byte of an answer, in each way, while the request is written whole or in part:
// the exchanges, and a server on loopback that plays them.
#pragma once

#include <skylarkseam/shell/event_loop.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>
#include <vector>

namespace skylarkseam {

enum class connection_end {
    reset,
    in_order, ///< Its side is shut down; the other side may go on sending.
    none,     ///< It stays open, and nothing more is read.
};

[[nodiscard]] constexpr const char* name_of(connection_end end) {
    return end == connection_end::reset ? "reset" : end == connection_end::in_order ? "in order" : "none";
}

/// Invariant: of each request only the head is read, so that a long body is written in part.
class ending_server {
public:
    struct reply {
        std::string bytes;
        connection_end end = connection_end::reset;
        duration pause{}; ///< Between the bytes and the end
    };

    ending_server(event_loop& loop, std::function<reply(const std::string& head)> script)
        : loop_(loop)
        , script_(std::move(script))
        , fd_(open_listener("127.0.0.1:0"))
        , address(bound_address(fd_)) {
        // Connections inherit the sizes: loopback would take a body of hundreds of kilobytes at once.
        const int receive_bytes = 2048;
        const int segment_bytes = 1460;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
        ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
        loop_.watch(fd_, {true, false}, [this](readiness) { accept_all(); });
    }
    ~ending_server() {
        for (const auto& [fd, head] : connections_) {
            loop_.unwatch(fd);
            ::close(fd);
        }
        loop_.unwatch(fd_);
        ::close(fd_);
    }
    ending_server(const ending_server&) = delete;
    ending_server& operator=(const ending_server&) = delete;

private:
    void accept_all() {
        for (;;) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            connections_[fd];
            loop_.watch(fd, {true, false}, [this, fd](readiness) { read_head(fd); });
        }
    }

    void read_head(int fd) {
        auto& head = connections_[fd];
        while (!head.ends_with("\r\n\r\n")) {
            char byte = 0;
            const auto n = ::recv(fd, &byte, 1, 0);
            if (n <= 0) {
                if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                    end(fd, connection_end::reset);
                }
                return;
            }
            head.push_back(byte);
        }
        loop_.unwatch(fd); // It stays silent until its end.
        const auto answer = script_(head);
        ::send(fd, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
        if (answer.pause == duration::zero()) {
            end(fd, answer.end);
        } else {
            loop_.run_after(answer.pause, [this, fd, how = answer.end] { end(fd, how); });
        }
    }

    void end(int fd, connection_end how) {
        if (how == connection_end::none) {
            return;
        }
        if (how == connection_end::in_order) {
            ::shutdown(fd, SHUT_WR);
            return;
        }
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        loop_.unwatch(fd);
        ::close(fd);
        connections_.erase(fd);
    }

    event_loop& loop_;
    std::function<reply(const std::string&)> script_;
    int fd_;
    std::map<int, std::string> connections_; ///< The heads, by descriptor

public:
    const std::string address;
};

inline const std::string ending_body = "0123456789abcdefghijklmnopqrstuv";

struct framed_answer {
    const char* name;
    std::string head;
    std::string rest;
    bool has_end; ///< The bytes say where it ends.
    /// Bytes behind the zero-sized chunk. RFC 9112, section 8: an answer in chunks is incomplete if that
    /// chunk has not been received.
    std::size_t after_last_chunk = 0;

    [[nodiscard]] std::string bytes() const { return head + rest; }
};

inline const std::vector<framed_answer> framed_answers{
    {"a length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 32\r\n\r\n", ending_body, true},
    {"chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\n" + ending_body.substr(0, 16) + "\r\n10\r\n" + ending_body.substr(16) + "\r\n0\r\n\r\n", true, 2},
    {"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ending_body, false},
};

/// One exchange: the connection ends after some bytes of the answer.
struct ending {
    const framed_answer* answer = nullptr;
    std::size_t cut = 0; ///< Bytes that are sent
    connection_end end = connection_end::reset;
    duration pause{};
    bool long_request = false;

    [[nodiscard]] std::string text() const {
        return std::string(answer->name) + ", " + std::to_string(cut) + " bytes, " + name_of(end) +
               (pause == duration::zero() ? " at once" : "") +
               (long_request ? ", request written in part" : ", request written whole");
    }

    /// Whether all of the body has come and only the end of the framing is missing.
    [[nodiscard]] bool lacks_only_the_last_line() const {
        return cut < answer->bytes().size() && cut + answer->after_last_chunk >= answer->bytes().size();
    }

    /// Body that is to be delivered; nothing if none may be.
    [[nodiscard]] std::optional<std::string> deliverable() const {
        if (answer->has_end) {
            return cut == answer->bytes().size() ? std::optional(ending_body) : std::nullopt;
        }
        const bool ended = end == connection_end::in_order && cut >= answer->head.size();
        return ended ? std::optional(answer->rest.substr(0, cut - answer->head.size())) : std::nullopt;
    }
};

/// \param long_request  whether the body of the request is too long to be written whole
inline std::vector<ending> endings_at_each_byte(bool long_request) {
    std::vector<ending> out;
    for (const auto& it : framed_answers) {
        for (const auto end : {connection_end::reset, connection_end::in_order}) {
            for (const auto pause : {duration::zero(), duration(milliseconds(3))}) {
                for (std::size_t cut = 0; cut <= it.bytes().size(); ++cut) {
                    out.push_back({&it, cut, end, pause, long_request});
                }
            }
        }
    }
    return out;
}

/// Longer than the buffers of a connection whose other side does not read.
inline constexpr std::size_t long_body_bytes = 400'000;
inline constexpr std::size_t endings_at_once = 100; ///< Exchanges that are played at the same time

/// Plays endings; the derived class sends the requests.
struct endings_fixture : loop_fixture {
    std::vector<ending> endings;
    ending_server server{
        loop, [this](const std::string& head) {
            const auto& it = endings.at(std::stoul(head.substr(head.find('/') + 1)));
            return ending_server::reply{it.answer->bytes().substr(0, it.cut), it.end, it.pause};
        }};

    [[nodiscard]] std::string request_body(std::size_t n) const {
        return std::string(endings[n].long_request ? long_body_bytes : 0, 'r');
    }

    /// Bounded by time: libcurl keeps the loop busy while it waits to write to a peer that has ended its
    /// side.
    void wait_for(const std::function<bool()>& done) {
        const auto latest = loop.now() + seconds(20);
        while (!done()) {
            BOOST_REQUIRE(loop.now() < latest);
            loop.run_once(milliseconds(1));
        }
    }

    /// \param send  sends the request of the given ending
    /// \param ended  number of requests that have ended
    void play(const std::function<void(std::size_t n)>& send, const std::function<std::size_t()>& ended) {
        for (std::size_t n = 0; n < endings.size(); ++n) {
            send(n);
            wait_for([&] { return ended() + endings_at_once > n; });
        }
        wait_for([&] { return ended() == endings.size(); });
    }
};

/// An answer without a length of which a part came, and a whole one, before the searcher stands still under
/// a part of the request.
inline std::vector<ending> endings_without_an_end() {
    const auto& unframed = framed_answers.back();
    return {{&unframed, unframed.bytes().size() - 9, connection_end::none, {}, true},
            {&unframed, unframed.bytes().size(), connection_end::none, {}, true}};
}

} // namespace skylarkseam
