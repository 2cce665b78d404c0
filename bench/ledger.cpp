// What the ledger costs: time to chain and seal one record, and the bytes that it takes in the platform, by
// the number of owners that an answer was merged from.
#include <skylarkseam/control/ledger.hpp>

#include <benchmark/benchmark.h>

namespace {

using namespace skylarkseam;

constexpr std::uint32_t shards = 560;

ledger_record record_of(std::uint32_t owners) {
    ledger_record record;
    record.caller = "consorzio-helpdesk";
    record.request_id = "4f1c2a3e-8d55-4b0e-9c61-2f8f5d1f7a10";
    record.service = "ingredient-lookup";
    record.arrival = 123'456'789;
    record.outcome = "served";
    record.snapshot = 20'261'203'001;
    record.searched = record.total = shards;
    record.request_digest = std::string(64, 'a');
    record.answer_digest = std::string(64, 'b');
    for (std::uint32_t it = 0; it < owners; ++it) {
        record.dispatches.push_back(
            {"node-" + std::to_string(100 + it), 900'000'000, 900'000'005, shards / owners});
    }
    return record;
}

/// Appends records and takes every write as stored at once.
void append_and_store(benchmark::State& state) {
    const auto record = record_of(static_cast<std::uint32_t>(state.range(0)));
    time_point now{seconds(1)};
    ledger chain("node-100", 1, now);
    std::vector<ledger_output> out;
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(chain.append(record, now));
        now += milliseconds(5);
        out.clear();
        chain.handle(ledger_event::time_passed{}, now, out);
        if (!out.empty()) {
            platform_answer answer{std::get<platform_call>(out.front()).id, {}};
            answer.response.status = platform_status::ok;
            chain.handle(answer, now, out);
        }
    }
    const auto& counts = chain.counters();
    state.counters["bytes_a_record"] =
        static_cast<double>(counts.bytes_stored) / static_cast<double>(counts.records);
    state.counters["segments"] = static_cast<double>(counts.segments_stored);
}

BENCHMARK(append_and_store)->ArgName("owners")->Arg(1)->Arg(3)->Arg(8)->Arg(12)->Arg(118)->Arg(407);

void verify_one_record(benchmark::State& state) {
    const auto record = record_of(3);
    ledger_segment segment;
    segment.node = "node-100";
    segment.incarnation = 1;
    segment.first = 1;
    segment.last = 1000;
    segment.previous = chain_start(segment.node, 1);
    segment.head = segment.previous;
    for (std::uint64_t it = 1; it <= segment.last; ++it) {
        segment.lines.push_back(encode_ledger_record(record, it));
        segment.head = chain_hash(segment.head, segment.lines.back());
    }
    for (auto step : state) {
        (void)step;
        if (verify_chain({segment}).first_break) {
            state.SkipWithError("the chain does not verify");
        }
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) *
                            static_cast<std::int64_t>(segment.last));
}

BENCHMARK(verify_one_record);

} // namespace

BENCHMARK_MAIN();
