// The stand-in for the platform's object API over HTTP: objects, watches, hosts, faults and counts of calls.
#pragma once

#include "standin/http_front.hpp"

#include <cstdint>
#include <memory>

namespace skylarkseam::standin {

struct platform_options {
    std::uint16_t port = 0;
    double reads_per_s = 2000;
    double writes_per_s = 500;
    std::size_t history = 10'000;
    std::uint64_t seed = 1; ///< of the choice which answers are lost
};

class platform {
public:
    platform(http_loop& loop, const platform_options& options);
    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    [[nodiscard]] std::string address() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam::standin
