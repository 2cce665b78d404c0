// What the ledger keeps of each served or refused query, and the hash chain that the records form.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

enum class ledger_kind {
    opened, ///< the first record of an incarnation
    query,
    closed, ///< the last record of an incarnation that was shut down in order
};

[[nodiscard]] std::string_view name_of(ledger_kind kind);

/// The dispatches of one owner that an answer was merged from.
struct dispatch_range {
    std::string owner;
    std::uint64_t first = 0; ///< lowest sequence number
    std::uint64_t last = 0;  ///< highest sequence number
    std::uint32_t count = 0; ///< last - first + 1 where nothing of another query stands between them
};

struct ledger_record {
    ledger_kind kind = ledger_kind::query;
    std::string caller;
    std::string request_id;
    std::string service;
    request_class cls = request_class::interactive;
    std::uint64_t arrival = 0; ///< order of arrival at the node, from 1
    std::string outcome;       ///< "served", or the name of the error kind
    run_state ran = run_state::yes;
    snapshot_id snapshot = 0;
    std::uint32_t searched = 0; ///< shards
    std::uint32_t total = 0;
    std::string request_digest;
    std::string answer_digest;
    std::vector<dispatch_range> dispatches; ///< by owner, ascending
};

/// By owner, from the dispatches of an answer.
[[nodiscard]] std::vector<dispatch_range> dispatch_ranges(const std::vector<dispatch_record>& dispatches);

/// The text that is chained: one JSON object with its sequence number.
[[nodiscard]] std::string encode_ledger_record(const ledger_record& record, std::uint64_t sequence);

/// The sequence number and kind that a record's text states; nothing where it is not a record.
struct ledger_line_header {
    std::uint64_t sequence = 0;
    std::string kind;
};
[[nodiscard]] std::optional<ledger_line_header> read_ledger_line(const std::string& line);

/// The hash before the first record of an incarnation.
[[nodiscard]] std::string chain_start(std::string_view node, std::uint64_t incarnation);
/// The hash after a record: SHA-256 over the hash before it and its text.
[[nodiscard]] std::string chain_hash(std::string_view previous, std::string_view line);

/// Proof that a query stands in the ledger, as it is given with the answer.
struct ledger_receipt {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string hash; ///< after the record
};

[[nodiscard]] std::string encode_receipt(const ledger_receipt& receipt);
[[nodiscard]] std::optional<ledger_receipt> decode_receipt(const std::string& json);

} // namespace skylarkseam
