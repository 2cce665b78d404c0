#include "standin/load_statistics.hpp"

#include <boost/histogram.hpp>

#include <cmath>

namespace skylarkseam::standin {
namespace {

namespace bh = boost::histogram;

constexpr double least_ms = 0.01;
constexpr double most_ms = 100'000.0;
constexpr unsigned latency_bins = 1700; ///< each 0.95 % wide
constexpr double us_per_ms = 1000.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_histogram() {
    return bh::make_histogram(log_axis(latency_bins, least_ms, most_ms));
}

} // namespace

struct latency_histogram::impl {
    decltype(make_histogram()) bins = make_histogram();
    std::uint64_t count = 0;
};

latency_histogram::latency_histogram()
    : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::add(duration latency) {
    impl_->bins(static_cast<double>(latency.count()) / us_per_ms);
    ++impl_->count;
}

std::uint64_t latency_histogram::count() const {
    return impl_->count;
}

double latency_histogram::quantile_ms(double part) const {
    if (impl_->count == 0) {
        return 0.0;
    }
    const double rank = std::max(1.0, std::ceil(part * static_cast<double>(impl_->count)));
    double seen = 0.0;
    for (const auto& bin : bh::indexed(impl_->bins, bh::coverage::all)) {
        seen += *bin;
        if (seen >= rank) {
            return bin.index() < 0 ? least_ms : std::min(bin.bin().upper(), most_ms);
        }
    }
    return most_ms;
}

void load_figures::add(const load_outcome& outcome) {
    ++sent;
    if (outcome.result == load_result::accepted) {
        ++accepted;
    }
    if (outcome.result != load_result::answered) {
        return;
    }
    ++answered;
    whole += outcome.coverage >= 1.0 ? 1 : 0;
    subqueries += outcome.shards;
    coverage_sum += outcome.coverage;
    latency.add(outcome.latency);
}

double load_figures::coverage() const {
    return answered == 0 ? 1.0 : coverage_sum / static_cast<double>(answered);
}

void load_statistics::add(const load_outcome& outcome) {
    all.add(outcome);
    by_second[std::chrono::duration_cast<seconds>(outcome.scheduled).count()].add(outcome);
    by_caller[outcome.caller].add(outcome);
    if (outcome.result == load_result::refused) {
        ++refused[outcome.kind];
    } else if (outcome.result == load_result::failed) {
        ++failed[outcome.kind];
    }
    if (!outcome.wrong.empty()) {
        ++wrong[outcome.wrong];
    }
}

} // namespace skylarkseam::standin
