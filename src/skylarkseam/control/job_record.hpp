// A deferrable job as it is stored in the platform: as a live object until it has ended, then as a result.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkseam {

enum class job_state {
    queued,
    running,   ///< under a lease of `holder`
    done,      ///< has a result
    failed,    ///< given up, with its reason
    cancelled, ///< by an operator or its caller
};

[[nodiscard]] std::string_view name_of(job_state state);
[[nodiscard]] std::optional<job_state> find_job_state(std::string_view name);

/// Invariants: id, token and request never change; the fence only rises; a live object is queued or running,
/// a result is done, failed or cancelled and is never changed.
struct job_record {
    std::string id;
    std::string token;     ///< unique for each submission
    query_request request; ///< its class, deadline and request id are not stored
    std::string digest;    ///< of the request's body
    job_state state = job_state::queued;
    std::uint64_t fence = 0;    ///< rises with each lease; a holder with a lower one has lost the job
    std::uint32_t attempts = 0; ///< leases that ended in a failure of the job itself, or in silence
    std::string holder;         ///< of the last lease
    std::uint64_t incarnation = 0;
    std::string reason;      ///< why the last attempt, or the job, failed
    std::string answer_json; ///< done: the answer's body
};

constexpr unsigned job_bucket_count = 64;

[[nodiscard]] std::string job_kind(unsigned bucket);    ///< jobs.00 to jobs.3f
[[nodiscard]] std::string result_kind(unsigned bucket); ///< job_results.00 to job_results.3f
[[nodiscard]] unsigned bucket_of(std::string_view job_id);

/// The id of a submission: the same for a repeat with the same idempotency key, its own otherwise.
[[nodiscard]] std::string job_id_of(const query_request& request, std::string_view token);

[[nodiscard]] std::string encode_job(const job_record& job);
[[nodiscard]] std::optional<job_record> decode_job(const std::string& json);

} // namespace skylarkseam
