// Segment of consecutive ledger records, stored as one platform object, and verification of a chain of
// segments.
#pragma once

#include <skylarkseam/control/ledger_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

/// Invariants: first <= last. Unless the segment is lost, it has last - first + 1 lines, and `head` is the
/// hash after the last one.
struct ledger_segment {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t first = 0; ///< Sequence number of the first record; numbers start at 1.
    std::uint64_t last = 0;  ///< Sequence number of the last record.
    std::string previous;    ///< Hash before the first record.
    std::string head;        ///< Hash after the last record.
    bool lost = false; ///< Whether the records were dropped before they were stored; only hashes remain.
    std::vector<std::string> lines;
};

/// Kind of the first segments, one for each incarnation of a node. Its list names all chains.
constexpr const char* ledger_chains_kind = "ledger_chains";
/// Number of records in a chapter. A chapter is the kind that holds a range of a chain's later segments;
/// dividing a chain into chapters keeps the list of one kind small.
constexpr std::uint64_t records_per_chapter = 16'384;

[[nodiscard]] std::string chapter_kind(std::string_view node, std::uint64_t incarnation,
                                       std::uint64_t chapter);
[[nodiscard]] std::string segment_kind(const ledger_segment& segment);
/// Name of a segment. Names sort by node, incarnation and first record.
[[nodiscard]] std::string segment_name(const ledger_segment& segment);
[[nodiscard]] std::string encode_segment(const ledger_segment& segment);
[[nodiscard]] std::optional<ledger_segment> decode_segment(const std::string& json);

/// Result of verifying one incarnation's chain.
struct chain_report {
    std::uint64_t records = 0; ///< Number of verified records.
    std::uint64_t lost = 0;    ///< Number of records that are declared as lost.
    bool closed = false;       ///< Whether the chain ends with the record of a clean shutdown.
    std::string head;          ///< Hash after the last verified record.
    struct chain_break {
        std::uint64_t sequence = 0; ///< Sequence number of the first record that is not verified.
        std::string reason;
    };
    std::optional<chain_break> first_break;
};

/// Verifies the segments of one incarnation, which must be in the order of their first records.
[[nodiscard]] chain_report verify_chain(const std::vector<ledger_segment>& segments);

enum class receipt_verdict {
    proved,  ///< The chain contains the record with the receipt's hash.
    differs, ///< The chain contains another record at that sequence number.
    lost,    ///< The record's segment is declared as lost.
    absent,  ///< No segment contains the sequence number.
};
[[nodiscard]] std::string_view name_of(receipt_verdict verdict);

/// Checks a receipt against a chain. verify_chain() must check the chain itself.
[[nodiscard]] receipt_verdict verify_receipt(const std::vector<ledger_segment>& segments,
                                             const ledger_receipt& receipt);

} // namespace skylarkseam
