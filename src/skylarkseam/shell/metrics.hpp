// What a node measures of itself: counts, and latencies in Boost.Histogram; written as Prometheus text.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace skylarkseam {

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds one duration to the histogram `name`, under the label `label` (for instance service="search").
    void observe(const std::string& name, const std::string& label, duration value);

    void count(const std::string& name, const std::string& label = {}, std::uint64_t by = 1);

    /// Sets a value that is read elsewhere at the time of writing.
    void gauge(const std::string& name, const std::string& label, double value);

    /// The Prometheus text format, version 0.0.4; every name is preceded by "skylarkseam_".
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
