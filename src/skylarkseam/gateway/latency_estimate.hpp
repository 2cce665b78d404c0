// What a request of one route usually takes at a searcher, and how far away each zone is.
#pragma once

#include <skylarkseam/gateway/known_searcher.hpp>

#include <map>
#include <string>

namespace skylarkseam {

/// A running median: robust against the few requests that meet a paused or slow searcher.
class latency_estimate {
public:
    /// \param first_guess  taken until answers are in
    explicit latency_estimate(duration first_guess)
        : median_(first_guess)
        , shortest_(first_guess) {}
    void add(duration latency, time_point now);
    [[nodiscard]] duration median() const { return median_; }
    /// About the shortest that was seen lately: the work itself, also while most requests wait in queues.
    [[nodiscard]] duration shortest() const { return shortest_; }

private:
    duration median_;
    duration shortest_;
    time_point shortest_at_{}; ///< until when it has been raised
    std::uint32_t samples_ = 0;
};

/// Round trips to the zones, from the times that connections took to open.
class round_trips {
public:
    void add(const std::string& zone, duration connect_time);
    [[nodiscard]] duration to(const known_searcher& it) const;

private:
    std::map<std::string, duration> shortest_;
};

} // namespace skylarkseam
