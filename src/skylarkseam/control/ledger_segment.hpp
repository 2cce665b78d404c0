// A run of consecutive ledger records as one object of the platform, and the check of a whole chain of them.
#pragma once

#include <skylarkseam/control/ledger_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Invariants: first <= last; unless lost, it has last - first + 1 lines, and `head` is the hash after the
/// last.
struct ledger_segment {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t first = 0; ///< sequence numbers, from 1
    std::uint64_t last = 0;
    std::string previous; ///< hash before the first record
    std::string head;     ///< hash after the last record
    bool lost = false;    ///< the records were dropped before they could be stored; only their hash remains
    std::vector<std::string> lines;
};

constexpr const char* ledger_object_kind = "ledger";

/// Names sort by node, incarnation and first record.
[[nodiscard]] std::string segment_name(const ledger_segment& segment);
[[nodiscard]] std::string encode_segment(const ledger_segment& segment);
[[nodiscard]] std::optional<ledger_segment> decode_segment(const std::string& json);

/// What a check of one incarnation's chain found.
struct chain_report {
    std::uint64_t records = 0; ///< checked ones
    std::uint64_t lost = 0;    ///< declared as lost
    bool closed = false;       ///< ends with the record of an orderly shutdown
    std::string head;          ///< hash after the last record
    struct chain_break {
        std::uint64_t sequence = 0; ///< the first record that cannot be vouched for
        std::string reason;
    };
    std::optional<chain_break> first_break;
};

/// Checks the segments of one incarnation, in the order of their first records.
[[nodiscard]] chain_report verify_chain(const std::vector<ledger_segment>& segments);

enum class receipt_verdict {
    proved,  ///< the record stands in the chain with the receipt's hash
    differs, ///< another record stands in its place
    lost,    ///< its segment was declared as lost
    absent,  ///< the chain does not reach it
};
[[nodiscard]] std::string_view name_of(receipt_verdict verdict);

/// Looks a receipt up in a chain; the chain itself is to be checked by verify_chain().
[[nodiscard]] receipt_verdict verify_receipt(const std::vector<ledger_segment>& segments,
                                             const ledger_receipt& receipt);

} // namespace skylarkseam
