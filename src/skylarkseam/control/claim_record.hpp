// Stored form of a claim: the platform object that records one non-idempotent request and its outcome.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// State of a claim. The claim of a request that did not run is removed, so there is no state for it.
enum class claim_state {
    claimed, ///< A node holds the claim and may have dispatched the request.
    done,    ///< The request ran, and its outcome is stored.
    unknown, ///< The request may have run. The holder or an operator can resolve it later.
};

[[nodiscard]] std::string_view name_of(claim_state state);
[[nodiscard]] std::optional<claim_state> find_claim_state(std::string_view name);

/// Invariant: caller, service, key, digest, holder, incarnation and token never change.
struct claim_record {
    std::string caller;
    std::string service;
    std::string key;
    std::string digest; ///< Digest of the request's body and limit.
    std::string holder; ///< Name of the node that created the claim.
    std::uint64_t incarnation = 0;
    std::string token; ///< Unique token of the attempt that created the claim.
    claim_state state = claim_state::claimed;
    std::string outcome_json; ///< Answer body of a done claim; empty if it was too large to store.
    std::string detail;       ///< Explanation of an unknown outcome.
    std::string resolved_by;  ///< Operator who resolved the claim; empty if its holder set the state.
};

/// Number of kinds over which claims are spread, which keeps the list of one kind small.
constexpr unsigned claim_bucket_count = 64;

struct claim_address {
    std::string kind; ///< Kind from claims.00 to claims.3f.
    std::string name; ///< Digest of caller, service and idempotency key.
};

[[nodiscard]] std::string claim_kind(unsigned bucket);
[[nodiscard]] claim_address claim_address_of(std::string_view caller, std::string_view service,
                                             std::string_view key);
[[nodiscard]] std::string request_digest(const query_request& request);

[[nodiscard]] std::string encode_claim(const claim_record& claim);
[[nodiscard]] std::optional<claim_record> decode_claim(const std::string& json);

} // namespace skylarkseam
