#include <skylarkseam/shell/socket_address.hpp>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace skylarkseam {
namespace {

constexpr int listen_backlog = 1024;

/// Parses without a name lookup: the host part must be an IP number.
bool parse(const std::string& address, ACE_INET_Addr& into) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    const auto host = address.substr(0, colon);
    if (host.empty() || host.find_first_not_of("0123456789.") != std::string::npos) {
        return false;
    }
    return into.string_to_addr(address.c_str(), AF_INET) == 0;
}

std::string to_text(const ACE_INET_Addr& address) {
    return std::string(address.get_host_addr()) + ":" + std::to_string(address.get_port_number());
}

} // namespace

int open_listener(const std::string& address) {
    ACE_INET_Addr local;
    if (!parse(address, local)) {
        throw std::runtime_error("not an ip:port address: " + address);
    }
    ACE_SOCK_Acceptor acceptor;
    constexpr int reuse_address = 1;
    if (acceptor.open(local, reuse_address, AF_INET, listen_backlog) != 0) {
        throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
    }
    acceptor.enable(ACE_NONBLOCK);
    const int fd = acceptor.get_handle();
    acceptor.set_handle(ACE_INVALID_HANDLE);
    return fd;
}

int start_connection(const std::string& address) {
    ACE_INET_Addr remote;
    if (!parse(address, remote)) {
        return -1;
    }
    ACE_SOCK_Stream stream;
    ACE_SOCK_Connector connector;
    const ACE_Time_Value at_once(0, 0);
    if (connector.connect(stream, remote, &at_once) != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
        stream.close();
        return -1;
    }
    stream.enable(ACE_NONBLOCK);
    const int fd = stream.get_handle();
    stream.set_handle(ACE_INVALID_HANDLE);
    disable_send_delay(fd);
    return fd;
}

void disable_send_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void limit_silence(int fd, int unacknowledged_ms, int idle_s, int probes) {
    const int on = 1;
    const int between_probes_s = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &between_probes_s, sizeof between_probes_s);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
}

std::optional<duration> round_trip_of(int fd) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0) {
        return std::nullopt;
    }
    return microseconds(info.tcpi_rtt);
}

std::string bound_address(int fd) {
    sockaddr_in raw{};
    socklen_t size = sizeof raw;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size) != 0) {
        return {};
    }
    return to_text(ACE_INET_Addr(&raw, static_cast<int>(size)));
}

} // namespace skylarkseam
