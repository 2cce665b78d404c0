// Two ways to tell that a lease has expired, on the same seeded schedules: an expiry time stored in the
// record and compared with the reader's wall clock, and a record version that did not change for a lease
// duration on the reader's steady clock.
#include <skylarkseam/core/time.hpp>

#include <pcg_random.hpp>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace skylarkseam;

namespace {

constexpr duration lease = milliseconds(2000);
constexpr duration renew_interval = milliseconds(1000);
constexpr duration read_interval = milliseconds(250);
constexpr duration horizon = seconds(20);
constexpr int schedules = 20'000;
constexpr int steady_margin_percent = 1;
constexpr std::uint32_t most_steady_ppm = 4000;
constexpr std::uint32_t most_latency_us = 20'000;

/// One holder that renews until it crashes or pauses, and one reader.
struct schedule {
    duration reader_wall_ahead{}; ///< of the holder's wall clock
    double reader_rate = 1;       ///< of its steady clock
    duration stop{};              ///< when the holder crashes or is paused
    duration read_phase{};
    std::vector<duration> renewed_sent;
    std::vector<duration> renewed_at; ///< when the platform took each renewal
};

schedule make_schedule(pcg32& random, duration most_skew) {
    schedule it;
    const auto us = static_cast<std::uint32_t>(most_skew.count());
    it.reader_wall_ahead = microseconds(static_cast<std::int64_t>(random(2 * us + 1)) - us);
    it.reader_rate = 1 + (static_cast<double>(random(2 * most_steady_ppm)) - most_steady_ppm) / 1e6;
    it.stop = seconds(5) + microseconds(random(1'000'000));
    it.read_phase = microseconds(random(static_cast<std::uint32_t>(read_interval.count())));
    for (duration at{}; at < it.stop; at += renew_interval) {
        it.renewed_sent.push_back(at);
        it.renewed_at.push_back(at + microseconds(random(most_latency_us)));
    }
    return it;
}

/// The renewal that a reader sees at `now`.
std::size_t seen(const schedule& it, duration now) {
    const auto after = std::upper_bound(it.renewed_at.begin(), it.renewed_at.end(), now);
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, after - it.renewed_at.begin())) - 1;
}

duration takeover_by_stored_time(const schedule& it) {
    for (duration now = it.read_phase; now < horizon; now += read_interval) {
        if (now + it.reader_wall_ahead > it.renewed_sent[seen(it, now)] + lease) {
            return now;
        }
    }
    return horizon;
}

duration takeover_by_observation(const schedule& it) {
    const auto needed = lease * (100 + steady_margin_percent) / 100;
    std::size_t version = 0;
    duration first_seen = it.read_phase;
    for (duration now = it.read_phase; now < horizon; now += read_interval) {
        if (const auto current = seen(it, now); current != version) {
            version = current;
            first_seen = now;
        }
        if (static_cast<double>((now - first_seen).count()) * it.reader_rate >=
            static_cast<double>(needed.count())) {
            return now;
        }
    }
    return horizon;
}

struct verdict {
    int too_early = 0; ///< taken over while the holder could still dispatch
    int never = 0;     ///< not within the horizon
    std::vector<duration> delays;

    void add(const schedule& it, duration taken) {
        const auto last_sent = it.renewed_sent[seen(it, taken)];
        const auto holder_until = last_sent + lease * (100 - steady_margin_percent) / 100;
        too_early += taken < holder_until ? 1 : 0;
        never += taken >= horizon ? 1 : 0;
        delays.push_back(std::max(taken - it.stop, duration{}));
    }

    void print(const char* name, duration skew) {
        std::sort(delays.begin(), delays.end());
        const auto at = [&](int percent) {
            return static_cast<long>(
                to_ms(delays[(delays.size() - 1) * static_cast<std::size_t>(percent) / 100]));
        };
        std::printf("%10ld  %-12s %10d %10d %8ld %8ld %8ld\n", static_cast<long>(to_ms(skew)), name,
                    too_early, never, at(50), at(99), at(100));
    }
};

} // namespace

int main() {
    std::printf("%d schedules each; lease %ld ms; delays in ms from the holder's stop to the takeover\n",
                schedules, static_cast<long>(to_ms(lease)));
    std::printf("%10s  %-12s %10s %10s %8s %8s %8s\n", "skew +-ms", "expiry by", "too early", "never", "p50",
                "p99", "max");
    for (const auto skew : {milliseconds(0), milliseconds(100), milliseconds(1000), milliseconds(10000)}) {
        pcg32 random(1);
        verdict stored;
        verdict observed;
        for (int it = 0; it < schedules; ++it) {
            const auto one = make_schedule(random, skew);
            stored.add(one, takeover_by_stored_time(one));
            observed.add(one, takeover_by_observation(one));
        }
        stored.print("stored time", skew);
        observed.print("observation", skew);
    }
    return 0;
}
