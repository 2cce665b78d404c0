// Estimates of the latency of a route's requests at a searcher, and of the round-trip times to the zones.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>
#include <skylarkseam/gateway/sample_window.hpp>

#include <map>
#include <string>

namespace skylarkseam {

/// The latest latencies. Their median is robust against the few requests that meet a paused or slow searcher,
/// and does not depend on their order: the parts of a query over many shards arrive with the fastest first.
class latency_estimate {
public:
    /// \param first_guess  estimate to use until there are samples
    explicit latency_estimate(duration first_guess)
        : median_(first_guess)
        , shortest_(first_guess) {}
    void add(duration latency, time_point now);
    [[nodiscard]] duration median() const { return median_; }
    /// Approximate minimum of the recent latencies: the processing time alone, even while most requests
    /// queue.
    [[nodiscard]] duration shortest() const { return shortest_; }

private:
    sample_window window_{128};
    std::size_t since_update_ = 0; ///< Samples since `median_` was computed.
    duration median_;
    duration shortest_;
    time_point shortest_updated_at_{}; ///< Time up to which the growth of `shortest_` has been applied.
};

/// Round-trip times to the zones, measured as the time to open a connection.
class round_trips {
public:
    void add(const std::string& zone, duration connect_time);
    [[nodiscard]] duration to(const known_searcher& it) const;
    [[nodiscard]] duration to(const std::string& zone, distance network_distance) const;

private:
    std::map<std::string, duration> shortest_;
};

} // namespace skylarkseam
