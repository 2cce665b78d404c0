// Ledger record of a served or refused query, and the hash chain of the records.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

enum class ledger_kind {
    opened, ///< First record of an incarnation.
    query,
    closed, ///< Last record of an incarnation that was shut down cleanly.
};

[[nodiscard]] std::string_view name_of(ledger_kind kind);

/// Range of the dispatches of one owner from which an answer was merged.
struct dispatch_range {
    std::string owner;
    std::uint64_t first = 0; ///< Lowest sequence number.
    std::uint64_t last = 0;  ///< Highest sequence number.
    std::uint32_t count = 0; ///< Number of dispatches; last - first + 1 if no other query's are in the range.
};

struct ledger_record {
    ledger_kind kind = ledger_kind::query;
    std::string caller;
    std::string request_id;
    std::string service;
    request_class cls = request_class::interactive;
    std::uint64_t arrival = 0; ///< Position in the order of arrival at the node, from 1.
    std::string outcome;       ///< Either "served" or the name of the error kind.
    run_state ran = run_state::yes;
    snapshot_id snapshot = 0;
    std::uint32_t searched = 0; ///< Number of searched shards.
    std::uint32_t total = 0;    ///< Number of all shards.
    std::string request_digest;
    std::string answer_digest;
    std::vector<dispatch_range> dispatches; ///< Dispatch ranges in ascending order of owner.
};

/// Groups the dispatches of an answer into one range for each owner.
[[nodiscard]] std::vector<dispatch_range> dispatch_ranges(const std::vector<dispatch_record>& dispatches);

/// Encodes a record as the text that is hashed: one JSON object with the sequence number.
[[nodiscard]] std::string encode_ledger_record(const ledger_record& record, std::uint64_t sequence);

/// Sequence number and kind from a record's text.
struct ledger_line_header {
    std::uint64_t sequence = 0;
    std::string kind;
};
/// Reads the header of a record's text; returns nothing if the text is not a record.
[[nodiscard]] std::optional<ledger_line_header> read_ledger_line(const std::string& line);

/// Hash that precedes the first record of an incarnation.
[[nodiscard]] std::string chain_start(std::string_view node, std::uint64_t incarnation);
/// Hash after a record: SHA-256 over the previous hash and the record's text.
[[nodiscard]] std::string chain_hash(std::string_view previous, std::string_view line);

/// Proof, returned with the answer, that the ledger contains a record of the query.
struct ledger_receipt {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string hash; ///< Chain hash after the record.
};

[[nodiscard]] std::string encode_receipt(const ledger_receipt& receipt);
[[nodiscard]] std::optional<ledger_receipt> decode_receipt(const std::string& json);

} // namespace skylarkseam
