// Integrity of the ledger: every altered, dropped or reordered record is found, every lost record is
// declared, and the write rate stays within its budget.
#include "virtual_world.hpp"

#include <skylarkseam/control/ledger.hpp>
#include <skylarkseam/control/ledger_copies.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

ledger_record served(int n) {
    ledger_record record;
    record.caller = "integra";
    record.request_id = "r" + std::to_string(n);
    record.service = "lookup";
    record.arrival = static_cast<std::uint64_t>(n);
    record.outcome = "served";
    record.snapshot = 7;
    record.searched = record.total = 3;
    record.dispatches = {{"host1", 10, 12, 3}};
    return record;
}

/// Simulation of one node's ledger, a peer that holds copies, and the platform.
struct ledger_world {
    explicit ledger_world(ledger_settings settings = {})
        : process(clock, [this](ledger_output& output) { perform(output); }) {
        process.start(std::make_unique<ledger>("host0", 1, clock.now(), settings));
        process.feed(ledger_event::time_passed{});
    }
    void perform(ledger_output& output) {
        if (auto* call = std::get_if<platform_call>(&output)) {
            process.call(platform, *call);
        } else if (auto* copy = std::get_if<ledger_action::copy_segment>(&output)) {
            copies.hold(copy->segment_json);
        } else {
            copies.release("host0", 1, std::get<ledger_action::release_copies>(output).up_to);
        }
    }
    ledger_receipt append(int n) {
        auto receipt = process.machine().append(served(n), clock.now());
        process.feed(ledger_event::time_passed{});
        return receipt;
    }
    void close() {
        process.machine().close(clock.now());
        process.feed(ledger_event::time_passed{});
        run_for(seconds(60));
    }
    void run_for(duration length) { clock.run_until(clock.now() + length); }
    [[nodiscard]] std::vector<ledger_segment> stored() const {
        std::vector<ledger_segment> segments;
        for (const auto& [name, object] : platform.objects) {
            segments.push_back(decode_segment(object.value_json).value());
        }
        std::sort(segments.begin(), segments.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        return segments;
    }

    virtual_clock clock;
    random_source random{1};
    fake_platform platform{clock, random};
    ledger_copies copies;
    fake_process<ledger, ledger_input, ledger_output> process;
};

std::vector<ledger_segment> closed_chain(int records) {
    ledger_world world;
    for (int it = 1; it <= records; ++it) {
        world.append(it);
        world.run_for(seconds(4));
    }
    world.close();
    return world.stored();
}

bool is_valid_chain(const std::vector<ledger_segment>& segments) {
    const auto report = verify_chain(segments);
    return !report.first_break && report.closed && report.lost == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledgers)

BOOST_AUTO_TEST_CASE(an_unmodified_chain_is_valid) {
    const auto chain = closed_chain(20);
    const auto report = verify_chain(chain);
    BOOST_TEST(is_valid_chain(chain));
    BOOST_TEST(report.records == 22U);
    BOOST_TEST(chain.size() > 3U);
}

BOOST_AUTO_TEST_SUITE(each_single_mutation_is_found)

BOOST_AUTO_TEST_CASE(any_byte_of_any_record) {
    const auto chain = closed_chain(12);
    for (std::size_t segment = 0; segment < chain.size(); ++segment) {
        for (std::size_t line = 0; line < chain[segment].lines.size(); ++line) {
            for (std::size_t byte = 0; byte < chain[segment].lines[line].size(); ++byte) {
                auto mutated = chain;
                mutated[segment].lines[line][byte] ^= 1;
                const auto report = verify_chain(mutated);
                BOOST_TEST_REQUIRE(report.first_break.has_value());
                BOOST_TEST(report.first_break->sequence >= chain[segment].first);
                BOOST_TEST(report.first_break->sequence <= chain[segment].last);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(any_dropped_duplicated_or_swapped_record) {
    const auto chain = closed_chain(12);
    for (std::size_t segment = 0; segment < chain.size(); ++segment) {
        const auto n = static_cast<std::ptrdiff_t>(chain[segment].lines.size());
        for (std::ptrdiff_t line = 0; line < n; ++line) {
            auto dropped = chain;
            dropped[segment].lines.erase(dropped[segment].lines.begin() + line);
            BOOST_TEST(!is_valid_chain(dropped));
            auto duplicated = chain;
            duplicated[segment].lines.insert(duplicated[segment].lines.begin() + line,
                                             chain[segment].lines[static_cast<std::size_t>(line)]);
            BOOST_TEST(!is_valid_chain(duplicated));
            if (line + 1 < n) {
                auto swapped = chain;
                std::iter_swap(swapped[segment].lines.begin() + line,
                               swapped[segment].lines.begin() + line + 1);
                BOOST_TEST(!is_valid_chain(swapped));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(any_dropped_swapped_or_foreign_segment) {
    const auto chain = closed_chain(12);
    for (std::size_t segment = 0; segment < chain.size(); ++segment) {
        const auto at = static_cast<std::ptrdiff_t>(segment);
        auto dropped = chain;
        dropped.erase(dropped.begin() + at);
        BOOST_TEST(!is_valid_chain(dropped));
        auto foreign = chain;
        foreign[segment].incarnation = 2;
        BOOST_TEST(!is_valid_chain(foreign));
        auto emptied = chain;
        emptied[segment].lost = true;
        emptied[segment].lines.clear();
        BOOST_TEST(!is_valid_chain(emptied));
        if (segment + 1 < chain.size()) {
            auto swapped = chain;
            std::iter_swap(swapped.begin() + at, swapped.begin() + at + 1);
            BOOST_TEST(!is_valid_chain(swapped));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_receipt_proves_its_record_and_detects_a_rewritten_chain) {
    ledger_world world;
    const auto receipt = world.append(1);
    world.append(2);
    BOOST_TEST((verify_receipt(world.stored(), receipt) == receipt_verdict::absent));
    world.close();
    BOOST_TEST((verify_receipt(world.stored(), receipt) == receipt_verdict::proved));
    BOOST_TEST(decode_receipt(encode_receipt(receipt))->hash == receipt.hash);
    ledger_world forged;
    forged.append(3);
    forged.append(2);
    forged.close();
    BOOST_TEST(is_valid_chain(forged.stored()));
    BOOST_TEST((verify_receipt(forged.stored(), receipt) == receipt_verdict::differs));
}

BOOST_AUTO_TEST_CASE(the_chain_of_a_crashed_incarnation_is_not_closed) {
    ledger_world world;
    world.append(1);
    world.process.crash();
    world.run_for(seconds(60));
    const auto report = verify_chain(world.stored());
    BOOST_TEST(!report.first_break.has_value());
    BOOST_TEST(!report.closed);
    BOOST_TEST(report.records == 1U);
}

BOOST_AUTO_TEST_CASE(lost_answers_and_an_outage_leave_a_valid_chain) {
    ledger_world world;
    world.platform.faults.lose_answers = 0.5;
    for (int it = 1; it <= 300; ++it) {
        world.platform.faults.down = it > 100 && it < 200;
        world.append(it);
        world.run_for(seconds(1));
    }
    world.platform.faults.lose_answers = 0;
    world.close();
    BOOST_TEST(is_valid_chain(world.stored()));
    BOOST_TEST(world.copies.held() == 0U);
}

BOOST_AUTO_TEST_CASE(records_beyond_the_memory_limit_are_declared_as_lost) {
    ledger_settings settings;
    settings.memory_bytes = 20'000;
    settings.segment_bytes = 2'000;
    ledger_world world(settings);
    world.platform.faults.down = true;
    std::vector<ledger_receipt> receipts;
    for (int it = 1; it <= 200; ++it) {
        receipts.push_back(world.append(it));
        BOOST_TEST(world.process.machine().backlog_bytes() <= settings.memory_bytes + settings.segment_bytes);
        world.run_for(seconds(1));
    }
    world.platform.faults.down = false;
    world.close();
    const auto report = verify_chain(world.stored());
    BOOST_TEST(!report.first_break.has_value());
    BOOST_TEST(report.closed);
    BOOST_TEST(report.lost == world.process.machine().counters().records_lost);
    BOOST_TEST(report.lost > 0U);
    BOOST_TEST(report.records + report.lost == 202U);
    BOOST_TEST((verify_receipt(world.stored(), receipts.front()) == receipt_verdict::lost));
    BOOST_TEST((verify_receipt(world.stored(), receipts.back()) == receipt_verdict::proved));
}

BOOST_AUTO_TEST_CASE(the_peer_stores_the_copies_of_a_node_that_crashed_in_an_outage) {
    ledger_world world;
    world.platform.faults.down = true;
    const auto receipt = world.append(1);
    world.run_for(seconds(30));
    world.process.crash();
    world.platform.faults.down = false;
    BOOST_TEST(world.copies.held() > 0U);
    const std::vector<member> others{{"host1", 1, "", "", ""}};
    world.copies.set_members(others, world.clock.now());
    for (int it = 0; it < 20; ++it) {
        world.run_for(seconds(1));
        std::vector<platform_call> out;
        world.copies.pass_time(world.clock.now(), out);
        for (const auto& call : out) {
            world.platform.send(call.request, [&world, id = call.id](const platform_response& response) {
                std::vector<platform_call> more;
                world.copies.handle({id, response}, world.clock.now(), more);
            });
        }
    }
    BOOST_TEST(world.copies.held() == 0U);
    BOOST_TEST((verify_receipt(world.stored(), receipt) == receipt_verdict::proved));
    BOOST_TEST(!verify_chain(world.stored()).first_break.has_value());
}

BOOST_AUTO_TEST_CASE(the_write_rate_stays_within_its_budget) {
    constexpr double max_writes_per_second = 0.2; // for one node; all nodes share several hundred per second
    ledger_world world;
    for (int it = 0; it < 20'000; ++it) {
        world.append(it);
        world.run_for(milliseconds(10));
    }
    const auto writes = static_cast<double>(world.platform.calls[platform_method::create]);
    BOOST_TEST_MESSAGE("writes a second at 100 records a second: " << writes / 200);
    BOOST_TEST(writes / 200 < max_writes_per_second);
}

BOOST_AUTO_TEST_SUITE_END()
