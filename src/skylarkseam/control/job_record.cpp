#include <skylarkseam/control/bucket_name.hpp>
#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/control/job_record.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace skylarkseam {
namespace {

constexpr std::size_t job_id_length = 32;

constexpr name_table job_state_names{std::array{
    named_value<job_state>{job_state::queued, "queued"},
    named_value<job_state>{job_state::running, "running"},
    named_value<job_state>{job_state::done, "done"},
    named_value<job_state>{job_state::failed, "failed"},
    named_value<job_state>{job_state::cancelled, "cancelled"},
}};

unsigned hex_digit(char digit) {
    return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10) & 0xFU;
}

} // namespace

std::string_view name_of(job_state state) {
    return job_state_names.name_of(state);
}

std::optional<job_state> find_job_state(std::string_view name) {
    return job_state_names.find(name);
}

std::string job_kind(unsigned bucket) {
    return bucket_name("jobs.", bucket);
}

std::string result_kind(unsigned bucket) {
    return bucket_name("job_results.", bucket);
}

unsigned bucket_of(std::string_view job_id) {
    return job_id.size() < 2 ? 0 : (hex_digit(job_id[0]) * 16 + hex_digit(job_id[1])) % job_bucket_count;
}

std::string job_id_of(const query_request& request, std::string_view token) {
    const auto digest =
        request.idempotency_key.empty()
            ? sha256_hex_of_fields({"token", token})
            : sha256_hex_of_fields({"key", request.caller, request.service, request.idempotency_key});
    return digest.substr(0, job_id_length);
}

std::string encode_job(const job_record& job) {
    return nlohmann::json{
        {"id", job.id},
        {"token", job.token},
        {"caller", job.request.caller},
        {"service", job.request.service},
        {"query", job.request.query_json},
        {"limit", job.request.limit},
        {"key", job.request.idempotency_key},
        {"digest", job.digest},
        {"state", name_of(job.state)},
        {"fence", job.fence},
        {"attempts", job.attempts},
        {"holder", job.holder},
        {"incarnation", job.incarnation},
        {"reason", job.reason},
        {"answer", job.answer_json},
    }
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<job_record> decode_job(const std::string& json) {
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        const auto state = find_job_state(value.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        job_record job;
        job.id = value.at("id").get<std::string>();
        job.token = value.at("token").get<std::string>();
        job.request.caller = value.at("caller").get<std::string>();
        job.request.service = value.at("service").get<std::string>();
        job.request.query_json = value.at("query").get<std::string>();
        job.request.limit = value.at("limit").get<std::uint32_t>();
        job.request.idempotency_key = value.at("key").get<std::string>();
        job.request.request_id = "job-" + job.id;
        job.request.cls = request_class::deferrable;
        job.digest = value.at("digest").get<std::string>();
        job.state = *state;
        job.fence = value.at("fence").get<std::uint64_t>();
        job.attempts = value.at("attempts").get<std::uint32_t>();
        job.holder = value.at("holder").get<std::string>();
        job.incarnation = value.at("incarnation").get<std::uint64_t>();
        job.reason = value.at("reason").get<std::string>();
        job.answer_json = value.at("answer").get<std::string>();
        return job;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace skylarkseam
