#include <skylarkseam/shell/metrics.hpp>

#include <boost/histogram.hpp>

#include <sstream>

namespace skylarkseam {
namespace {

namespace bh = boost::histogram;

constexpr unsigned buckets = 48;
constexpr double shortest_us = 50.0;
constexpr double longest_us = 60e6;
constexpr double us_in_s = 1e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(log_axis(buckets, shortest_us, longest_us)));

struct latency {
    latency_histogram histogram = bh::make_histogram(log_axis(buckets, shortest_us, longest_us));
    double sum_us = 0.0;
    std::uint64_t count = 0;
};

using series = std::pair<std::string, std::string>; ///< name and label

std::string with_label(const std::string& name, const std::string& label, const std::string& more = {}) {
    std::string inner = label;
    if (!more.empty()) {
        inner += inner.empty() ? more : "," + more;
    }
    return "skylarkseam_" + name + (inner.empty() ? std::string() : "{" + inner + "}");
}

void write_histogram(std::ostream& out, const series& key, const latency& value) {
    std::uint64_t below = static_cast<std::uint64_t>(value.histogram.at(-1));
    for (const auto& cell : bh::indexed(value.histogram)) {
        below += static_cast<std::uint64_t>(*cell);
        std::ostringstream bound;
        bound << "le=\"" << cell.bin().upper() / us_in_s << '"';
        out << with_label(key.first + "_bucket", key.second, bound.str()) << ' ' << below << '\n';
    }
    out << with_label(key.first + "_bucket", key.second, "le=\"+Inf\"") << ' ' << value.count << '\n';
    out << with_label(key.first + "_sum", key.second) << ' ' << value.sum_us / us_in_s << '\n';
    out << with_label(key.first + "_count", key.second) << ' ' << value.count << '\n';
}

template <typename Map, typename Write>
void write_family(std::ostream& out, const Map& all, const char* type, Write write) {
    std::string last;
    for (const auto& [key, value] : all) {
        if (key.first != last) {
            out << "# TYPE skylarkseam_" << key.first << ' ' << type << '\n';
            last = key.first;
        }
        write(key, value);
    }
}

} // namespace

struct metrics::impl {
    std::map<series, latency> latencies;
    std::map<series, std::uint64_t> counters;
    std::map<series, double> gauges;
};

metrics::metrics()
    : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::observe(const std::string& name, const std::string& label, duration value) {
    auto& it = impl_->latencies[{name, label}];
    const auto us = static_cast<double>(value.count());
    it.histogram(us);
    it.sum_us += us;
    ++it.count;
}

void metrics::count(const std::string& name, const std::string& label, std::uint64_t by) {
    impl_->counters[{name, label}] += by;
}

void metrics::gauge(const std::string& name, const std::string& label, double value) {
    impl_->gauges[{name, label}] = value;
}

std::string metrics::prometheus_text() const {
    std::ostringstream out;
    write_family(out, impl_->latencies, "histogram",
                 [&](const series& key, const latency& value) { write_histogram(out, key, value); });
    write_family(out, impl_->counters, "counter", [&](const series& key, std::uint64_t value) {
        out << with_label(key.first, key.second) << ' ' << value << '\n';
    });
    write_family(out, impl_->gauges, "gauge", [&](const series& key, double value) {
        out << with_label(key.first, key.second) << ' ' << value << '\n';
    });
    return out.str();
}

} // namespace skylarkseam
