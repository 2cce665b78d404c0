// The operators' view of the ledger: show its records, and prove its chains and receipts.
#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/cli/sub_command.hpp>
#include <skylarkseam/control/ledger_segment.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace skylarkseam {
namespace {

/// The segments of one incarnation, in order.
using chain = std::vector<ledger_segment>;

/// A fault that ends a command: what the platform did not give.
struct unreadable {
    std::string detail;
};

std::vector<ledger_segment> read_kind(platform_session& platform, const std::string& kind) {
    const auto listed = platform.list(kind);
    if (listed.status != platform_status::ok) {
        throw unreadable{kind + ": " + describe(listed)};
    }
    std::vector<ledger_segment> segments;
    for (const auto& it : listed.objects) {
        auto segment = decode_segment(it.value_json);
        if (!segment) {
            throw unreadable{kind + "/" + it.name + " is not a ledger segment"};
        }
        segments.push_back(std::move(*segment));
    }
    std::sort(segments.begin(), segments.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return segments;
}

/// Reads chapter by chapter, until one is empty.
chain read_chain(platform_session& platform, ledger_segment opening) {
    const auto node = opening.node;
    const auto incarnation = opening.incarnation;
    chain segments;
    segments.push_back(std::move(opening));
    for (std::uint64_t chapter = 0;; ++chapter) {
        auto more = read_kind(platform, chapter_kind(node, incarnation, chapter));
        if (more.empty()) {
            return segments;
        }
        std::move(more.begin(), more.end(), std::back_inserter(segments));
    }
}

/// Reads the chains of one node, or of all; all that is asked for, or unreadable.
std::vector<chain> read_chains(platform_session& platform, const std::string& node) {
    std::vector<chain> chains;
    for (auto& it : read_kind(platform, ledger_chains_kind)) {
        if (node.empty() || it.node == node) {
            chains.push_back(read_chain(platform, std::move(it)));
        }
    }
    return chains;
}

exit_code show_ledger(const arguments& args) {
    command_line line("skylarkseam ledger show", "Prints records, one JSON object a line, chain by chain.");
    line.add_required("platform", "the platform's URL");
    line.add("node", "only this node's chains");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    platform_session platform(line.value("platform"));
    for (const auto& each : read_chains(platform, line.value("node"))) {
        std::cout << "# " << each.front().node << ' ' << each.front().incarnation << '\n';
        for (const auto& it : each) {
            if (it.lost) {
                std::cout << "# records " << it.first << " to " << it.last << " were lost\n";
            }
            std::copy(it.lines.begin(), it.lines.end(), std::ostream_iterator<std::string>(std::cout, "\n"));
        }
    }
    return exit_code::done;
}

/// Prints what a chain's check found; false where it is broken.
bool print_report(const chain& segments) {
    const auto report = verify_chain(segments);
    std::cout << segments.front().node << ' ' << segments.front().incarnation << ": ";
    if (report.first_break) {
        std::cout << "BROKEN at record " << report.first_break->sequence << ": " << report.first_break->reason
                  << '\n';
        return false;
    }
    std::cout << report.records << " records, " << report.lost << " lost, "
              << (report.closed ? "closed" : "not closed: later records may be missing") << ", head "
              << report.head << '\n';
    return true;
}

/// Prints whether a receipt's record stands in the chains.
bool print_receipt(const std::vector<chain>& chains, const ledger_receipt& receipt) {
    auto verdict = receipt_verdict::absent;
    for (const auto& it : chains) {
        verdict = verdict == receipt_verdict::absent ? verify_receipt(it, receipt) : verdict;
    }
    std::cout << "receipt " << receipt.node << ' ' << receipt.incarnation << ' ' << receipt.sequence << ": "
              << name_of(verdict) << '\n';
    return verdict == receipt_verdict::proved;
}

exit_code verify_ledger(const arguments& args) {
    command_line line("skylarkseam ledger verify", "Proves the chains, or names the first break of each.");
    line.add_required("platform", "the platform's URL");
    line.add("node", "only this node's chains");
    line.add("receipt", "a file with the receipt of an answer, to be proved too");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    std::optional<ledger_receipt> receipt;
    if (!line.value("receipt").empty()) {
        std::ifstream file(line.value("receipt"));
        receipt = decode_receipt({std::istreambuf_iterator<char>(file), {}});
        if (!receipt) {
            std::cerr << line.value("receipt") << " is not a receipt\n";
            return exit_code::refused;
        }
    }
    platform_session platform(line.value("platform"));
    const auto chains = read_chains(platform, line.value("node"));
    bool sound = true;
    for (const auto& it : chains) {
        sound = print_report(it) && sound;
    }
    if (receipt) {
        sound = print_receipt(chains, *receipt) && sound;
    }
    return sound ? exit_code::done : exit_code::refused;
}

} // namespace

exit_code ledger_command(const arguments& args) {
    try {
        return run_sub_command("ledger",
                               {{"show", "print records", &show_ledger},
                                {"verify", "prove the chains and a receipt", &verify_ledger}},
                               args);
    } catch (const unreadable& fault) {
        std::cerr << fault.detail << '\n';
        return exit_code::refused;
    }
}

} // namespace skylarkseam
