// The header names of the protocol spoken with clients and searchers. An adapter supplies them, so that the
// gateway itself depends on no platform's spelling.
#pragma once

#include <string>

namespace skylarkseam {

/// All names in lower case.
struct http_dialect {
    std::string request_id;     ///< of a client's attempt; searchers echo it
    std::string time_left;      ///< milliseconds that the sender will still wait
    std::string expected_id;    ///< the searcher that a request is meant for; any other answers 421
    std::string not_run;        ///< on a searcher's refusal: it did not run the request
    std::string proof;          ///< a searcher's proof of its answer
    std::string part_proofs;    ///< proofs of the parts of a merged answer
    std::string missing_parts;  ///< number of shards that a merged answer lacks
    std::string readiness_path; ///< what the balancer asks for
};

} // namespace skylarkseam
