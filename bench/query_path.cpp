// Processor time of the real nodes for each subquery, over the whole path: caller, coordinator, peer stream,
// owner, searcher. Prints the slope over the fan-out. Two runs of one size show how far the figures move.
#include <cstdio>
#include <cstdlib>
#include <tests/end_to_end/deployment.hpp>

namespace {

using namespace skylarkseam;
using namespace skylarkseam::testing;

constexpr int subqueries = 30'000;
constexpr int warm_up_queries = 50;
constexpr int queries_at_a_time = 8;
constexpr int nodes = 2;

struct run_figures {
    int queries = 0;
    int whole = 0;
    double us_per_subquery = 0.0;
    double mb_per_node = 0.0;
};

/// Keeps a number of queries open until `total` were answered.
class closed_loop {
public:
    closed_loop(deployment& all, int total)
        : all_(all)
        , left_(total) {}

    int run() {
        const int open = std::min(queries_at_a_time, left_);
        for (int it = 0; it < open; ++it) {
            ask();
        }
        all_.run_until([this] { return left_ == 0 && open_ == 0; });
        return whole_;
    }

private:
    void ask() {
        --left_;
        ++open_;
        const auto number = std::to_string(left_);
        const auto node = "entry-" + std::to_string(left_ % nodes + 1);
        all_.send(all_.query(node, "search", "bench", number, "\"" + number + "\""),
                  [this](const http_response& it) {
                      --open_;
                      whole_ += it.body.find(R"("fraction":1.0)") != std::string::npos ? 1 : 0;
                      if (left_ > 0) {
                          ask();
                      }
                  });
    }

    deployment& all_;
    int left_;
    int open_ = 0;
    int whole_ = 0;
};

run_figures measure(shard_id fan_out) {
    deployment all({nodes, static_cast<int>(std::min<shard_id>(fan_out, 100)) * 2, fan_out, 2});
    closed_loop(all, warm_up_queries).run();
    const auto processor = [&] {
        return all.node("entry-1").processor_us() + all.node("entry-2").processor_us();
    };
    run_figures figures;
    figures.queries = subqueries / static_cast<int>(fan_out);
    const auto before = processor();
    figures.whole = closed_loop(all, figures.queries).run();
    const auto used = static_cast<double>(processor() - before);
    figures.us_per_subquery = used / (static_cast<double>(figures.queries) * fan_out);
    figures.mb_per_node = static_cast<double>(all.node("entry-1").resident_bytes()) / 1e6;
    return figures;
}

} // namespace

int main() {
    std::puts("fan-out  queries  whole  us/subquery (all nodes)  MB/node");
    for (const shard_id fan_out : {10U, 100U, 560U, 560U}) {
        const auto figures = measure(fan_out);
        std::printf("%7u  %7d  %5d  %23.1f  %7.1f\n", fan_out, figures.queries, figures.whole,
                    figures.us_per_subquery, figures.mb_per_node);
    }
    return 0;
}
