// Operators' commands for the ledger: print its records, and verify its hash chains and receipts.
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

/// Hash chain of one incarnation of a node: its ledger segments in the order of their first records.
using chain = std::vector<ledger_segment>;

/// Exception that ends a command: a part of the ledger cannot be read from the platform or decoded.
struct ledger_read_error {
    std::string detail;
};

std::vector<ledger_segment> read_segments(platform_session& platform, const std::string& kind) {
    const auto listed = platform.list(kind);
    if (listed.status != platform_status::ok) {
        throw ledger_read_error{kind + ": " + describe(listed)};
    }
    std::vector<ledger_segment> segments;
    for (const auto& it : listed.objects) {
        auto segment = decode_segment(it.value_json);
        if (!segment) {
            throw ledger_read_error{kind + "/" + it.name + " is not a ledger segment"};
        }
        segments.push_back(std::move(*segment));
    }
    std::sort(segments.begin(), segments.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    return segments;
}

/// Reads the chain that starts with `first_segment`, chapter by chapter, until an empty chapter is found.
chain read_chain(platform_session& platform, ledger_segment first_segment) {
    const auto node = first_segment.node;
    const auto incarnation = first_segment.incarnation;
    chain segments;
    segments.push_back(std::move(first_segment));
    for (std::uint64_t chapter = 0;; ++chapter) {
        auto next = read_segments(platform, chapter_kind(node, incarnation, chapter));
        if (next.empty()) {
            return segments;
        }
        std::move(next.begin(), next.end(), std::back_inserter(segments));
    }
}

/// Reads the chains of one node, or of all nodes if `node` is empty. Throws ledger_read_error if any of them
/// cannot be read completely.
std::vector<chain> read_chains(platform_session& platform, const std::string& node) {
    std::vector<chain> chains;
    for (auto& it : read_segments(platform, ledger_chains_kind)) {
        if (node.empty() || it.node == node) {
            chains.push_back(read_chain(platform, std::move(it)));
        }
    }
    return chains;
}

exit_code show_ledger(const arguments& args) {
    command_line line("skylarkseam ledger show",
                      "Prints the records chain by chain, one JSON object per line.");
    line.add_required_option("platform", "URL of the platform");
    line.add_option("node", "name of the node whose chains are read; default: all nodes");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    platform_session platform(line.value("platform"));
    for (const auto& segments : read_chains(platform, line.value("node"))) {
        std::cout << "# " << segments.front().node << ' ' << segments.front().incarnation << '\n';
        for (const auto& it : segments) {
            if (it.lost) {
                std::cout << "# records " << it.first << " to " << it.last << " were lost\n";
            }
            std::copy(it.lines.begin(), it.lines.end(), std::ostream_iterator<std::string>(std::cout, "\n"));
        }
    }
    return exit_code::success;
}

/// Verifies a chain and prints the result.
/// \return false if the chain is broken
bool print_chain_report(const chain& segments) {
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

/// Looks up a receipt's record in the chains and prints the verdict.
/// \return true if the record is in a chain with the hash that the receipt names
bool print_receipt_verdict(const std::vector<chain>& chains, const ledger_receipt& receipt) {
    auto verdict = receipt_verdict::absent;
    for (const auto& it : chains) {
        verdict = verdict == receipt_verdict::absent ? verify_receipt(it, receipt) : verdict;
    }
    std::cout << "receipt " << receipt.node << ' ' << receipt.incarnation << ' ' << receipt.sequence << ": "
              << name_of(verdict) << '\n';
    return verdict == receipt_verdict::proved;
}

exit_code verify_ledger(const arguments& args) {
    command_line line("skylarkseam ledger verify",
                      "Verifies the hash chains, and prints the first break of each broken chain.");
    line.add_required_option("platform", "URL of the platform");
    line.add_option("node", "name of the node whose chains are read; default: all nodes");
    line.add_option("receipt", "file with the receipt of an answer, which is verified against the chains");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    std::optional<ledger_receipt> receipt;
    if (!line.value("receipt").empty()) {
        std::ifstream file(line.value("receipt"));
        receipt = decode_receipt({std::istreambuf_iterator<char>(file), {}});
        if (!receipt) {
            std::cerr << line.value("receipt") << " cannot be read or is not a receipt\n";
            return exit_code::failure;
        }
    }
    platform_session platform(line.value("platform"));
    const auto chains = read_chains(platform, line.value("node"));
    bool verified = true;
    for (const auto& it : chains) {
        verified = print_chain_report(it) && verified;
    }
    if (receipt) {
        verified = print_receipt_verdict(chains, *receipt) && verified;
    }
    return verified ? exit_code::success : exit_code::failure;
}

} // namespace

exit_code ledger_command(const arguments& args) {
    try {
        return run_sub_command("ledger",
                               {{"show", "print the records", &show_ledger},
                                {"verify", "verify the chains, and optionally a receipt", &verify_ledger}},
                               args);
    } catch (const ledger_read_error& ec) {
        std::cerr << ec.detail << '\n';
        return exit_code::failure;
    }
}

} // namespace skylarkseam
