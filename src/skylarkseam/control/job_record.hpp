// Stored form of a deferrable job in the platform: a live object until the job has ended, then a result.
#pragma once

#include <skylarkseam/core/query.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkseam {

enum class job_state {
    queued,
    running,   ///< `holder` has a lease on the job.
    done,      ///< The job ran and has a result.
    failed,    ///< The job is not tried again; `reason` says why.
    cancelled, ///< An operator or the caller cancelled the job.
};

[[nodiscard]] std::string_view name_of(job_state state);
[[nodiscard]] std::optional<job_state> find_job_state(std::string_view name);

/// Invariants: id, token and request never change. The fencing token only rises. A live object is queued or
/// running. A result is done, failed or cancelled, and never changes.
struct job_record {
    std::string id;
    std::string token;     ///< Unique token of the submission.
    query_request request; ///< Request to run; its class, deadline and request ID are not stored.
    std::string digest;    ///< Digest of the request's body and limit.
    job_state state = job_state::queued;
    std::uint64_t fence = 0;    ///< Fencing token, raised by each lease. A lower one is no longer valid.
    std::uint32_t attempts = 0; ///< Number of leases that ended in a failure of the job or expired.
    std::string holder;         ///< Node that holds or held the last lease.
    std::uint64_t incarnation = 0;
    std::string reason;      ///< Reason for the failure of the last attempt or of the job.
    std::string answer_json; ///< Answer body of a done job.
};

constexpr unsigned job_bucket_count = 64;

[[nodiscard]] std::string job_kind(unsigned bucket);    ///< Kind from jobs.00 to jobs.3f.
[[nodiscard]] std::string result_kind(unsigned bucket); ///< Kind from job_results.00 to job_results.3f.
[[nodiscard]] unsigned bucket_of(std::string_view job_id);

/// Job ID of a submission. Repeats with the same idempotency key get the same ID; a submission without a key
/// gets an ID of its own.
[[nodiscard]] std::string job_id_of(const query_request& request, std::string_view token);

[[nodiscard]] std::string encode_job(const job_record& job);
[[nodiscard]] std::optional<job_record> decode_job(const std::string& json);

} // namespace skylarkseam
