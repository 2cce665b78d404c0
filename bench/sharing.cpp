// Prints what a flooding caller does to the others' p99 with the fair queue and first come first served, and
// how near the shares are to the weights when every caller floods, at both users' sizes, in virtual time.
#include <iomanip>
#include <iostream>
#include <tests/support/sharing_experiment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

double ms(duration value) {
    constexpr double us_per_ms = 1000.0;
    return static_cast<double>(value.count()) / us_per_ms;
}

void print_flood(const char* user, std::uint32_t callers, std::uint32_t slots, std::uint32_t reserved_slots) {
    for (const bool fair : {true, false}) {
        sharing_settings settings;
        settings.callers = callers;
        settings.slots = slots;
        settings.reserved_slots = reserved_slots;
        settings.fair = fair;
        const auto calm = sharing_experiment(settings).run();
        settings.flood = 2.0;
        const auto flooded = sharing_experiment(settings).run();
        std::cout << std::setw(10) << user << std::setw(8) << callers << std::setw(6) << slots << std::setw(6)
                  << reserved_slots << std::setw(12) << (fair ? "fair" : "first-come") << std::setw(13)
                  << ms(calm.p99) << std::setw(14) << ms(flooded.p99) << std::setw(10)
                  << 100.0 * (ms(flooded.p99) / ms(calm.p99) - 1.0) << std::setw(15)
                  << 100.0 * flooded.flooder_refused_fraction << std::setw(14)
                  << 100.0 * flooded.steady_refused_fraction << std::endl;
    }
}

void print_shares(const char* user, std::uint32_t callers, std::uint32_t slots) {
    sharing_settings settings;
    settings.callers = callers;
    settings.slots = slots;
    settings.reserved_slots = 0;
    settings.flood = 0.5;
    settings.all_flood = true;
    double weights = 0.0;
    for (std::uint32_t n = 0; n < callers; ++n) {
        settings.weights.push_back(1 + n % 3);
        weights += settings.weights.back();
    }
    const auto it = sharing_experiment(settings).run();
    double worst = 0.0;
    for (std::uint32_t n = 0; n < callers; ++n) {
        const double rule = settings.weights[n] / weights;
        worst = std::max(worst, std::abs(it.shares[n] / rule - 1.0));
    }
    std::cout << std::setw(10) << user << std::setw(8) << callers << std::setw(6) << slots
              << "  all flood, weights 1, 2, 3 in turn: largest deviation of a share from its rule "
              << 100.0 * worst << " %\n";
}

} // namespace

int main() {
    std::cout
        << std::fixed << std::setprecision(2)
        << "      user callers slots  kept       queue  calm_p99_ms  flood_p99_ms   moved_%  flooder_ref_%  "
           "others_ref_%\n";
    print_flood("Consorzio", 10, 4, 1);
    print_flood("Consorzio", 10, 4, 2);
    print_flood("Consorzio", 25, 4, 2);
    print_flood("Malabar", 10, 2, 1);
    print_flood("Malabar", 25, 2, 1);
    print_shares("Consorzio", 25, 4);
    print_shares("Malabar", 25, 2);
    return 0;
}
