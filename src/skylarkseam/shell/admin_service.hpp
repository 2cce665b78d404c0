// The operators' port: the state dump, metrics and the health endpoint.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/metrics.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace skylarkseam {

class admin_service {
public:
    /// Writes one section of the state dump, a JSON value.
    using section = std::function<std::string()>;

    /// \param refresh  brings gauges up to date before metrics are written
    admin_service(event_loop& loop, http_limits limits, metrics& measured, std::function<void()> refresh,
                  std::function<std::optional<error>()> unfit);

    std::string listen(const std::string& address) { return server_.listen(address); }

    /// Adds a section to the state dump; sections are written in the order of their names.
    void add_section(const std::string& name, section write) { sections_[name] = std::move(write); }

    [[nodiscard]] std::string state_json() const;

private:
    void handle(const incoming_request& request, const respond& answer);

    metrics& measured_;
    std::function<void()> refresh_;
    std::function<std::optional<error>()> unfit_;
    std::map<std::string, section> sections_;
    http_server server_;
};

} // namespace skylarkseam
