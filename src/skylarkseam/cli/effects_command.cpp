// Operators' commands for non-idempotent requests: list their claims, and resolve claims whose outcome is
// unknown.
#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/cli/sub_command.hpp>
#include <skylarkseam/control/claim_record.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

exit_code list_effects(const arguments& args) {
    command_line line("skylarkseam effects list", "Lists the claims of non-idempotent requests.");
    line.add_required_option("platform", "URL of the platform");
    line.add_option("state", "state of the claims to list: claimed, done or unknown; empty for all states",
                    "unknown");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    const auto state = find_claim_state(line.value("state"));
    if (!state && !line.value("state").empty()) {
        std::cerr << "unknown state: " << line.value("state") << '\n';
        return exit_code::usage_error;
    }
    platform_session platform(line.value("platform"));
    for (unsigned bucket = 0; bucket < claim_bucket_count; ++bucket) {
        const auto listed = platform.list(claim_kind(bucket));
        if (listed.status != platform_status::ok) {
            std::cerr << describe(listed) << '\n';
            return exit_code::failure;
        }
        for (const auto& it : listed.objects) {
            const auto claim = decode_claim(it.value_json);
            if (claim && (!state || claim->state == *state)) {
                std::cout << name_of(claim->state) << " caller=" << claim->caller
                          << " service=" << claim->service << " key=" << claim->key
                          << " holder=" << claim->holder << '/' << claim->incarnation
                          << " detail=" << (claim->detail.empty() ? "-" : claim->detail) << '\n';
            }
        }
    }
    return exit_code::success;
}

/// Builds the request that records in the claim what the operator found out about the outcome. A request that
/// did not run loses its claim, so that it can be sent again.
/// \return nothing if `outcome` is neither "done" nor "not-run"
std::optional<platform_request> make_resolution_request(const std::string& outcome,
                                                        const platform_object& object, claim_record claim,
                                                        const std::string& operator_name) {
    platform_request request;
    request.kind = object.kind;
    request.name = object.name;
    request.version = object.version;
    if (outcome == "not-run") {
        request.method = platform_method::remove;
        return request;
    }
    if (outcome != "done") {
        return std::nullopt;
    }
    claim.state = claim_state::done;
    claim.resolved_by = operator_name;
    claim.outcome_json.clear();
    claim.detail = "resolved by " + operator_name;
    request.method = platform_method::update;
    request.value_json = encode_claim(claim);
    return request;
}

exit_code resolve_effect(const arguments& args) {
    command_line line("skylarkseam effects resolve", "Resolves a claim whose outcome is unknown.");
    line.add_required_option("platform", "URL of the platform");
    line.add_required_option("caller", "caller that sent the request");
    line.add_required_option("service", "service of the request");
    line.add_required_option("key", "idempotency key of the request");
    line.add_required_option(
        "as", "outcome: done (the request ran, and is never run again) or not-run (the request did not run, "
              "and may run when it is sent again)");
    line.add_required_option("by", "name of the operator who resolves the claim; it is stored");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    platform_session platform(line.value("platform"));
    const auto address = claim_address_of(line.value("caller"), line.value("service"), line.value("key"));
    const auto found = platform.get(address.kind, address.name);
    const auto claim = found.objects.empty() ? std::nullopt : decode_claim(found.objects.front().value_json);
    if (found.status != platform_status::ok) {
        std::cerr << describe(found) << '\n';
        return exit_code::failure;
    }
    if (!claim) {
        std::cerr << "claim \"" << address.kind << '/' << address.name
                  << "\" cannot be read: it has another format\n";
        return exit_code::failure;
    }
    if (claim->state != claim_state::unknown) {
        std::cerr << "nothing to resolve: the claim's state is " << name_of(claim->state) << '\n';
        return exit_code::failure;
    }
    const auto request =
        make_resolution_request(line.value("as"), found.objects.front(), *claim, line.value("by"));
    if (!request) {
        std::cerr << "--as must be done or not-run\n";
        return exit_code::usage_error;
    }
    const auto response = platform.call(*request);
    if (response.status == platform_status::ok) {
        std::cout << "resolved as " << line.value("as") << '\n';
        return exit_code::success;
    }
    std::cerr << describe(response) << '\n';
    const bool unknown = response.status == platform_status::unavailable && !response.not_sent;
    return unknown ? exit_code::outcome_unknown : exit_code::failure;
}

} // namespace

exit_code effects_command(const arguments& args) {
    return run_sub_command("effects",
                           {{"list", "list claims; by default those whose outcome is unknown", &list_effects},
                            {"resolve", "resolve a claim whose outcome is unknown", &resolve_effect}},
                           args);
}

} // namespace skylarkseam
