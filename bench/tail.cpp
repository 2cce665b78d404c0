// Prints p99, extra load and coverage with and without hedging, at a fan-out of 100 and of 560, in virtual
// time.
#include <iomanip>
#include <iostream>
#include <tests/support/tail_experiment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

double ms(duration value) {
    constexpr double us_per_ms = 1000.0;
    return static_cast<double>(value.count()) / us_per_ms;
}

void print(const tail_settings& settings) {
    const auto it = run_tail(settings);
    std::cout << std::setw(7) << settings.fan_out << std::setw(12) << to_ms(settings.deadline)
              << std::setw(10) << settings.budget_percent << std::setw(10) << ms(it.p50) << std::setw(10)
              << ms(it.p99) << std::setw(10) << it.extra_percent << std::setw(11) << std::setprecision(5)
              << it.coverage << std::setprecision(2) << '\n';
}

} // namespace

int main() {
    std::cout << std::fixed << std::setprecision(2);
    std::cout << "fan-out deadline_ms  budget_%    p50_ms    p99_ms   extra_%   coverage\n";
    for (const std::uint32_t fan_out : {100U, 560U}) {
        for (const auto deadline : {milliseconds(1000), milliseconds(60)}) {
            for (const double percent : {0.0, 5.0}) {
                tail_settings settings;
                settings.fan_out = fan_out;
                settings.deadline = deadline;
                settings.budget_percent = percent;
                print(settings);
            }
        }
    }
    return 0;
}
