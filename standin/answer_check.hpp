// Judges an answer against what its query must give. Pure.
#pragma once

#include <skylarkseam/core/configuration.hpp>

#include <map>
#include <string>
#include <vector>

namespace skylarkseam::standin {

/// What the load tool knows of a service.
struct load_service {
    std::vector<shard_id> shards; ///< of its group, ascending
    bool idempotent = true;
};

/// The services in configuration documents, by name.
[[nodiscard]] std::map<std::string, load_service> services_in(const std::string& yaml);

struct answer_verdict {
    double coverage = 0.0;
    std::uint32_t shards = 0; ///< that the answer says it is over
    std::string wrong;        ///< names the first fault; empty if there is none
};

/// \param service  null: only the answer's form, ids and snapshots are checked
[[nodiscard]] answer_verdict check_answer(const std::string& body, const std::string& request_id,
                                          const std::string& canonical_query, std::size_t limit,
                                          const load_service* service);

} // namespace skylarkseam::standin
