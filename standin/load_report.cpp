#include "standin/load_report.hpp"

#include "standin/svg_plot.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace skylarkseam::standin {
namespace {

using nlohmann::json;

constexpr double percent = 100.0;

/// Requests that the searchers started beyond one for each shard of the answers, in percent of these. Those
/// of queries that were not answered count as extra too.
double extra_load_percent(const load_report& report) {
    const auto first = static_cast<double>(report.statistics.all.subqueries);
    const auto started = static_cast<double>(report.upstreams->started);
    return first == 0.0 ? 0.0 : (started / first - 1.0) * percent;
}

json figures_json(const load_figures& it) {
    return {{"sent", it.sent},
            {"answered", it.answered},
            {"whole", it.whole},
            {"accepted", it.accepted},
            {"coverage", it.coverage()},
            {"p50_ms", it.latency.quantile_ms(0.5)},
            {"p95_ms", it.latency.quantile_ms(0.95)},
            {"p99_ms", it.latency.quantile_ms(0.99)},
            {"p999_ms", it.latency.quantile_ms(0.999)}};
}

json upstream_json(const load_report& report) {
    const auto& it = *report.upstreams;
    return {{"started", it.started},
            {"extra_load_percent", extra_load_percent(report)},
            {"shed", it.shed},
            {"cancelled_running", it.cancelled_running},
            {"cold_violations", it.cold_violations},
            {"cold_violations_after_sign", it.cold_violations_after_sign},
            {"arrivals_while_out", it.arrivals_while_out},
            {"most_runs_of_a_key", it.most_runs_of_a_key}};
}

std::string counts_text(const std::map<std::string, std::uint64_t>& counts) {
    std::ostringstream out;
    for (const auto& [name, count] : counts) {
        out << ' ' << name << '=' << count;
    }
    return counts.empty() ? " none" : out.str();
}

template <typename Value>
plot_line over_time(const load_statistics& statistics, const std::string& name, const Value& value) {
    plot_line line{name, {}};
    for (const auto& [second, figures] : statistics.by_second) {
        line.points.emplace_back(static_cast<double>(second), value(figures));
    }
    return line;
}

plot latency_plot(const load_statistics& statistics) {
    const auto quantile = [](double part) {
        return [part](const load_figures& it) { return it.latency.quantile_ms(part); };
    };
    return {"Latency of answers",
            "ms",
            {over_time(statistics, "p50", quantile(0.5)), over_time(statistics, "p99", quantile(0.99))}};
}

plot coverage_plot(const load_statistics& statistics) {
    const auto coverage = [](const load_figures& it) { return it.coverage(); };
    const auto answered = [](const load_figures& it) {
        return static_cast<double>(it.answered + it.accepted) /
               static_cast<double>(std::max<std::uint64_t>(it.sent, 1));
    };
    return {"Coverage and part answered",
            "part",
            {over_time(statistics, "coverage", coverage), over_time(statistics, "answered", answered)}};
}

std::string share_table(const load_statistics& statistics) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(2)
        << "<table><tr><th>caller</th><th>sent</th><th>answered</th><th>share of answers</th><th>p50 ms</th>"
           "<th>p99 ms</th><th>coverage</th></tr>\n";
    const auto all = static_cast<double>(std::max<std::uint64_t>(statistics.all.answered, 1));
    for (const auto& [name, it] : statistics.by_caller) {
        const double share = static_cast<double>(it.answered) / all;
        out << "<tr><td>" << name << "</td><td>" << it.sent << "</td><td>" << it.answered
            << "</td><td><svg width=\"100\" height=\"10\"><rect width=\"" << share * percent
            << "\" height=\"10\" fill=\"#1f77b4\"/></svg> " << share * percent << " %</td><td>"
            << it.latency.quantile_ms(0.5) << "</td><td>" << it.latency.quantile_ms(0.99) << "</td><td>"
            << std::setprecision(5) << it.coverage() << std::setprecision(2) << "</td></tr>\n";
    }
    out << "</table>\n";
    return out.str();
}

} // namespace

std::string to_text(const load_report& report) {
    const auto& all = report.statistics.all;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "sent " << all.sent << ", answered " << all.answered << " (whole " << all.whole << "), accepted "
        << all.accepted << '\n';
    out << "latency ms: p50 " << all.latency.quantile_ms(0.5) << ", p95 " << all.latency.quantile_ms(0.95)
        << ", p99 " << all.latency.quantile_ms(0.99) << ", p99.9 " << all.latency.quantile_ms(0.999) << '\n';
    out << "coverage of answers " << std::setprecision(5) << all.coverage() << std::setprecision(2) << '\n';
    out << "refused:" << counts_text(report.statistics.refused) << '\n';
    out << "failed:" << counts_text(report.statistics.failed) << '\n';
    out << "wrong answers:" << counts_text(report.statistics.wrong) << '\n';
    if (report.upstreams) {
        const auto& it = *report.upstreams;
        out << "upstreams: started " << it.started << ", extra load " << extra_load_percent(report)
            << " %, shed " << it.shed << ", cold violations " << it.cold_violations << " (after a sign "
            << it.cold_violations_after_sign << "), most runs of a key " << it.most_runs_of_a_key << '\n';
    }
    return out.str();
}

std::string to_json(const load_report& report) {
    const auto& statistics = report.statistics;
    json out{{"all", figures_json(statistics.all)},
             {"refused", statistics.refused},
             {"failed", statistics.failed},
             {"wrong", statistics.wrong}};
    for (const auto& [name, it] : statistics.by_caller) {
        out["by_caller"][name] = figures_json(it);
    }
    for (const auto& [second, it] : statistics.by_second) {
        auto row = figures_json(it);
        row["second"] = second;
        out["by_second"].push_back(std::move(row));
    }
    if (report.upstreams) {
        out["upstreams"] = upstream_json(report);
    }
    return out.dump(1) + "\n";
}

std::string to_html(const load_report& report, const std::string& title) {
    std::ostringstream out;
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" << title
        << "</title>\n<style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}"
           "</style></head><body>\n<h1>"
        << title << "</h1>\n<pre>" << to_text(report) << "</pre>\n"
        << to_svg(latency_plot(report.statistics)) << to_svg(coverage_plot(report.statistics))
        << share_table(report.statistics) << "</body></html>\n";
    return out.str();
}

} // namespace skylarkseam::standin
