#include <skylarkseam/control/bucket_name.hpp>
#include <skylarkseam/control/claim_record.hpp>
#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace skylarkseam {
namespace {

constexpr name_table claim_state_names{std::array{
    named_value<claim_state>{claim_state::claimed, "claimed"},
    named_value<claim_state>{claim_state::done, "done"},
    named_value<claim_state>{claim_state::unknown, "unknown"},
}};

} // namespace

std::string_view name_of(claim_state state) {
    return claim_state_names.name_of(state);
}

std::optional<claim_state> find_claim_state(std::string_view name) {
    return claim_state_names.find(name);
}

std::string claim_kind(unsigned bucket) {
    return bucket_name("claims.", bucket);
}

claim_address claim_address_of(std::string_view caller, std::string_view service, std::string_view key) {
    auto name = sha256_hex_of_fields({caller, service, key});
    const auto bucket =
        static_cast<unsigned>(std::stoul(name.substr(0, 4), nullptr, 16)) % claim_bucket_count;
    return {claim_kind(bucket), std::move(name)};
}

std::string request_digest(const query_request& request) {
    return sha256_hex_of_fields({request.query_json, std::to_string(request.limit)});
}

std::string encode_claim(const claim_record& claim) {
    return nlohmann::json{
        {"caller", claim.caller}, {"service", claim.service},         {"key", claim.key},
        {"digest", claim.digest}, {"holder", claim.holder},           {"incarnation", claim.incarnation},
        {"token", claim.token},   {"state", name_of(claim.state)},    {"outcome", claim.outcome_json},
        {"detail", claim.detail}, {"resolved_by", claim.resolved_by},
    }
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<claim_record> decode_claim(const std::string& json) {
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        const auto state = find_claim_state(value.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        claim_record claim;
        claim.caller = value.at("caller").get<std::string>();
        claim.service = value.at("service").get<std::string>();
        claim.key = value.at("key").get<std::string>();
        claim.digest = value.at("digest").get<std::string>();
        claim.holder = value.at("holder").get<std::string>();
        claim.incarnation = value.at("incarnation").get<std::uint64_t>();
        claim.token = value.at("token").get<std::string>();
        claim.state = *state;
        claim.outcome_json = value.at("outcome").get<std::string>();
        claim.detail = value.at("detail").get<std::string>();
        claim.resolved_by = value.at("resolved_by").get<std::string>();
        return claim;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace skylarkseam
