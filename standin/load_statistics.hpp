// Figures of one load run: latency quantiles, coverage, refusals by kind, wrong answers, and each of them by
// second and by caller. Pure.
#pragma once

#include <skylarkseam/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkseam::standin {

/// A latency histogram whose quantiles are right within 1 %, from 10 us to 100 s.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void add(duration latency);
    [[nodiscard]] std::uint64_t count() const;
    /// In milliseconds; 0 while empty. \param part  0 to 1
    [[nodiscard]] double quantile_ms(double part) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

enum class load_result { answered, accepted, refused, failed };

/// How one request ended.
struct load_outcome {
    duration scheduled{}; ///< since the start
    duration latency{};   ///< from the scheduled time to the whole answer
    std::string caller;
    load_result result = load_result::failed;
    std::string kind;         ///< of a refusal or failure
    std::string wrong;        ///< what is wrong with an answer; empty if nothing is
    double coverage = 0.0;    ///< 0 to 1; of an answer
    std::uint32_t shards = 0; ///< that an answer is over
};

/// Figures of the requests of one second or one caller, or of all.
struct load_figures {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t whole = 0;      ///< answers with a coverage of 1
    std::uint64_t accepted = 0;   ///< deferrable requests
    std::uint64_t subqueries = 0; ///< first attempts of the answers
    double coverage_sum = 0.0;
    latency_histogram latency; ///< of answers

    void add(const load_outcome& outcome);
    /// Mean over the answers; 1 without any.
    [[nodiscard]] double coverage() const;
};

struct load_statistics {
    load_figures all;
    std::map<std::int64_t, load_figures> by_second; ///< of the scheduled time
    std::map<std::string, load_figures> by_caller;
    std::map<std::string, std::uint64_t> refused; ///< by kind
    std::map<std::string, std::uint64_t> failed;  ///< by kind
    std::map<std::string, std::uint64_t> wrong;   ///< by what is wrong

    void add(const load_outcome& outcome);
};

} // namespace skylarkseam::standin
