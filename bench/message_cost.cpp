// Time and bytes of each message on the path of one subquery: to the owner, to the searcher, and back.
#include <skylarkseam/wire/peer_codec.hpp>
#include <skylarkseam/wire/upstream_json.hpp>

#include <benchmark/benchmark.h>

namespace {

using namespace skylarkseam;

constexpr int hits_of_a_shard = 10;

std::string search_answer_body() {
    std::string body =
        R"({"request_id":"entry-1.1796336427698526/123456/7","shard":7,"snapshot":12,"hits":[)";
    for (int it = 0; it < hits_of_a_shard; ++it) {
        body += it == 0 ? "" : ",";
        body += R"({"id":"item-)" + std::to_string(1000 + it) + R"(","score":0.)" + std::to_string(999 - it) +
                R"(,"title":"iron bisglycinate 20 mg"})";
    }
    return body + "]}";
}

subquery_batch batch_of(std::int64_t shards) {
    subquery_batch batch;
    batch.query = 123'456;
    batch.coordinator = "entry-1.1796336427698526";
    batch.caller = "partner-7";
    batch.group = "helpdesk-search";
    batch.snapshot = 12;
    batch.remaining = milliseconds(200);
    batch.query_json = R"({"text":"iron thyroid interaction"})";
    batch.limit = hits_of_a_shard;
    for (std::int64_t it = 0; it < shards; ++it) {
        const auto number = static_cast<std::uint32_t>(it);
        batch.subqueries.push_back({number, number, "searcher-" + std::to_string(it), false});
    }
    return batch;
}

subquery_reply sample_reply() {
    upstream_answer answer;
    const auto decoded = decode_search_answer(search_answer_body(), answer);
    subquery_reply reply;
    reply.query = 123'456;
    reply.shard = 7;
    reply.snapshot = 12;
    reply.outcome = decoded ? subquery_outcome::answered : subquery_outcome::failed;
    reply.dispatch_sequence = 987'654;
    reply.held = {11, 12};
    reply.hits = answer.hits;
    return reply;
}

void decode_searcher_answer(benchmark::State& state) {
    const auto body = search_answer_body();
    upstream_answer answer;
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode_search_answer(body, answer));
    }
    state.counters["bytes"] = static_cast<double>(body.size());
}

void encode_and_decode_reply(benchmark::State& state) {
    const auto reply = sample_reply();
    std::string bytes;
    for (auto _ : state) {
        bytes = encode(reply);
        benchmark::DoNotOptimize(decode_subquery_reply(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

void encode_and_decode_batch(benchmark::State& state) {
    const auto batch = batch_of(state.range(0));
    std::string bytes;
    for (auto _ : state) {
        bytes = encode(batch);
        benchmark::DoNotOptimize(decode_subquery_batch(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
    state.counters["bytes_a_subquery"] =
        static_cast<double>(bytes.size()) / static_cast<double>(state.range(0));
}

BENCHMARK(decode_searcher_answer);
BENCHMARK(encode_and_decode_reply);
BENCHMARK(encode_and_decode_batch)->Arg(1)->Arg(5)->Arg(100);

} // namespace

BENCHMARK_MAIN();
