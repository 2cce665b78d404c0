// The operators' view of non-idempotent requests: list their claims, and resolve those with an unknown
// outcome.
#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/platform_session.hpp>
#include <skylarkseam/cli/sub_command.hpp>
#include <skylarkseam/control/claim_record.hpp>

#include <iostream>

namespace skylarkseam {
namespace {

exit_code list_effects(const arguments& args) {
    command_line line("skylarkseam effects list", "Lists claims of non-idempotent requests.");
    line.add_required("platform", "the platform's URL");
    line.add("state", "claimed, done or unknown; all of them where it is empty", "unknown");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const auto state = find_claim_state(line.value("state"));
    if (!state && !line.value("state").empty()) {
        std::cerr << "no such state: " << line.value("state") << '\n';
        return exit_code::usage;
    }
    platform_session platform(line.value("platform"));
    for (unsigned bucket = 0; bucket < claim_bucket_count; ++bucket) {
        const auto listed = platform.list(claim_kind(bucket));
        if (listed.status != platform_status::ok) {
            std::cerr << describe(listed) << '\n';
            return exit_code::refused;
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
    return exit_code::done;
}

/// What the operator found out, as a change of the claim.
std::optional<platform_request> resolution(const std::string& as, const platform_object& object,
                                           claim_record claim, const std::string& by) {
    platform_request request;
    request.kind = object.kind;
    request.name = object.name;
    request.version = object.version;
    if (as == "not-run") {
        request.method = platform_method::remove;
        return request;
    }
    if (as != "done") {
        return std::nullopt;
    }
    claim.state = claim_state::done;
    claim.resolved_by = by;
    claim.outcome_json.clear();
    claim.detail = "resolved by " + by;
    request.method = platform_method::update;
    request.value_json = encode_claim(claim);
    return request;
}

exit_code resolve_effect(const arguments& args) {
    command_line line("skylarkseam effects resolve", "Settles a claim with an unknown outcome.");
    line.add_required("platform", "the platform's URL");
    line.add_required("caller", "the caller of the request");
    line.add_required("service", "its service");
    line.add_required("key", "its idempotency key");
    line.add_required("as",
                      "done: it ran, and is never run again; not-run: it may run when it is sent again");
    line.add_required("by", "who resolves it, for the record");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    platform_session platform(line.value("platform"));
    const auto address = claim_address_of(line.value("caller"), line.value("service"), line.value("key"));
    const auto found = platform.get(address.kind, address.name);
    const auto claim = found.objects.empty() ? std::nullopt : decode_claim(found.objects.front().value_json);
    if (found.status != platform_status::ok || !claim) {
        std::cerr << describe(found) << '\n';
        return exit_code::refused;
    }
    if (claim->state != claim_state::unknown) {
        std::cerr << "nothing to resolve: the claim is " << name_of(claim->state) << '\n';
        return exit_code::refused;
    }
    const auto change = resolution(line.value("as"), found.objects.front(), *claim, line.value("by"));
    if (!change) {
        std::cerr << "--as is done or not-run\n";
        return exit_code::usage;
    }
    const auto answer = platform.call(*change);
    if (answer.status == platform_status::ok) {
        std::cout << "resolved as " << line.value("as") << '\n';
        return exit_code::done;
    }
    std::cerr << describe(answer) << '\n';
    const bool unknown = answer.status == platform_status::unavailable && !answer.not_sent;
    return unknown ? exit_code::unknown : exit_code::refused;
}

} // namespace

exit_code effects_command(const arguments& args) {
    return run_sub_command("effects",
                           {{"list", "list claims, those with an unknown outcome by default", &list_effects},
                            {"resolve", "settle an unknown outcome", &resolve_effect}},
                           args);
}

} // namespace skylarkseam
