// The claim object of one non-idempotent request, as it is stored in the platform.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

/// A claim that did not run is removed, so it has no state of its own.
enum class claim_state {
    claimed, ///< held by a node that may be about to dispatch, or has dispatched
    done,    ///< it ran, and the outcome is stored
    unknown, ///< it may have run; stays so until its holder or an operator knows
};

[[nodiscard]] std::string_view name_of(claim_state state);
[[nodiscard]] std::optional<claim_state> find_claim_state(std::string_view name);

/// Invariant: caller, service, key, digest, holder, incarnation and token never change.
struct claim_record {
    std::string caller;
    std::string service;
    std::string key;
    std::string digest; ///< of the request's body
    std::string holder; ///< name of the node that created the claim
    std::uint64_t incarnation = 0;
    std::string token; ///< unique for each attempt to create a claim
    claim_state state = claim_state::claimed;
    std::string outcome_json; ///< done: the answer's body; empty where it was too large to keep
    std::string detail;       ///< unknown: what is known of it
    std::string resolved_by;  ///< the operator who resolved it; empty for the holder's own word
};

/// Claims are spread over this many kinds, so that one list stays small.
constexpr unsigned claim_bucket_count = 64;

struct claim_address {
    std::string kind; ///< claims.00 to claims.3f
    std::string name; ///< digest of caller, service and idempotency key
};

[[nodiscard]] std::string claim_kind(unsigned bucket);
[[nodiscard]] claim_address claim_address_of(std::string_view caller, std::string_view service,
                                             std::string_view key);
[[nodiscard]] std::string request_digest(const query_request& request);

[[nodiscard]] std::string encode_claim(const claim_record& claim);
[[nodiscard]] std::optional<claim_record> decode_claim(const std::string& json);

} // namespace skylarkseam
