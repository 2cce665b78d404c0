// Finds out whether a process listens at an address: opens a connection and closes it again.
#pragma once

#include <skylarkseam/gateway/exchange.hpp>
#include <skylarkseam/shell/event_loop.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace skylarkseam {

class connection_checks {
public:
    /// Called once for each check, not from within start().
    using handler = std::function<void(std::uint64_t id, check_result result)>;

    connection_checks(event_loop& loop, handler on_result);
    ~connection_checks();
    connection_checks(const connection_checks&) = delete;
    connection_checks& operator=(const connection_checks&) = delete;

    /// \param address  ip:port
    void start(std::uint64_t id, const std::string& address, duration timeout);

private:
    struct check {
        int fd = -1;
        timer_id timer = -1;
    };

    void on_ready(std::uint64_t id);
    void finish(std::uint64_t id, check_result result);

    event_loop& loop_;
    handler on_result_;
    std::unordered_map<std::uint64_t, check> open_; ///< by id
};

} // namespace skylarkseam
