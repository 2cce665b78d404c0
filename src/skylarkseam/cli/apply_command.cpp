#include <skylarkseam/cli/command_support.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/confirmation.hpp>
#include <skylarkseam/control/configuration_apply.hpp>
#include <skylarkseam/shell/wakeup_timer.hpp>
#include <skylarkseam/wire/configuration_json.hpp>

#include <charconv>
#include <iostream>
#include <random>

namespace skylarkseam {
namespace {

constexpr duration confirmation_timeout = seconds(10);

std::string new_token() {
    std::random_device source;
    std::string token;
    for (int n = 0; n < 4; ++n) {
        token += (token.empty() ? "" : "-") + std::to_string(source());
    }
    return token;
}

/// Runs one attempt to apply a configuration on the session's event loop, until its result is known.
class apply_runner {
public:
    apply_runner(operator_session& session, configuration_apply attempt)
        : session_(session)
        , attempt_(std::move(attempt))
        , timer_(session.loop(), [this] { on_timer(); }) {}

    apply_result run() {
        std::vector<platform_call> calls;
        attempt_.start(session_.loop().now(), calls);
        send_calls(calls);
        session_.loop().run();
        return *attempt_.result();
    }

private:
    void send_calls(const std::vector<platform_call>& calls) {
        if (attempt_.result()) {
            session_.loop().stop();
            return;
        }
        for (const auto& it : calls) {
            session_.platform().call(it.request, [this, id = it.id](platform_response response) {
                std::vector<platform_call> next;
                attempt_.handle({id, std::move(response)}, session_.loop().now(), next);
                send_calls(next);
            });
        }
        timer_.set(attempt_.next_wakeup());
    }

    void on_timer() {
        std::vector<platform_call> next;
        attempt_.handle_time(session_.loop().now(), next);
        send_calls(next);
    }

    operator_session& session_;
    configuration_apply attempt_;
    wakeup_timer timer_;
};

/// Reports that another change was applied first, and prints what that change did.
void report_lost_race(operator_session& session, const apply_result& result) {
    std::cerr << "nothing was applied: " << result.detail << "; generation " << result.generation
              << " is in force\n";
    if (!result.last_seen_head || !result.base ||
        result.last_seen_head->generation == result.base->generation) {
        return;
    }
    const auto before = read_body(session, *result.base);
    const auto after = read_body(session, *result.last_seen_head);
    if (before && after) {
        std::cout << "changed from generation " << result.base->generation << " to "
                  << result.last_seen_head->generation << ":\n";
        print_difference(*before.value().value, *after.value().value);
    }
}

exit_code wait_until_confirmed(operator_session& session, generation_id generation) {
    const auto unconfirmed = wait_for_generation(session, generation, confirmation_timeout);
    for (const auto& it : unconfirmed) {
        std::cerr << "not confirmed: " << to_string(it) << '\n';
    }
    return unconfirmed.empty() ? exit_code::success : exit_code::failure;
}

exit_code report_result(operator_session& session, const apply_result& result, bool wait) {
    switch (result.outcome) {
    case apply_outcome::applied:
    case apply_outcome::unchanged:
        std::cout << "generation " << result.generation
                  << (result.outcome == apply_outcome::unchanged ? " (unchanged)" : "") << '\n';
        if (!result.detail.empty()) {
            std::cerr << result.detail << '\n';
        }
        return wait ? wait_until_confirmed(session, result.generation) : exit_code::success;
    case apply_outcome::lost_race:
        report_lost_race(session, result);
        return exit_code::failure;
    case apply_outcome::refused:
        std::cerr << "nothing was applied: " << result.detail << '\n';
        return exit_code::failure;
    case apply_outcome::unknown:
        break;
    }
    std::cerr << "it is unknown whether the change was applied: " << result.detail
              << "; when the platform answers again, compare with `skylarkseam diff`\n";
    return exit_code::outcome_unknown;
}

/// Reads the whole number given for the option `name`. If the option is not given, `out` stays as it is.
/// \return false if the value is not a whole number; the error has been printed.
template <typename Integer>
bool parse_number_option(const command_line& line, const std::string& name, std::optional<Integer>& out) {
    if (!line.is_set(name)) {
        return true;
    }
    const auto text = line.value(name);
    Integer value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    out = value;
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        std::cerr << "--" << name << " must be a whole number\n";
        return false;
    }
    return true;
}

} // namespace

exit_code apply_command(const arguments& args) {
    command_line line("skylarkseam apply", "Applies a configuration atomically.");
    line.add_required_option("f,file", "YAML file, or folder of YAML files");
    add_target_arguments(line);
    line.add_option("expect",
                    "generation that must be in force, otherwise nothing is applied; 0 for no configuration");
    line.add_option(
        "patience-ms",
        "timeout of the command in milliseconds, which includes finding out the outcome after a lost "
        "answer; default: 15000");
    line.add_flag(
        "wait",
        "wait until every node has the configuration in force, and list the nodes that do not confirm it");
    if (const auto early_exit = line.parse(args)) {
        return *early_exit;
    }
    apply_options options;
    options.token = new_token();
    auto targets = read_targets(line);
    if (!targets) {
        std::cerr << targets.error().detail << '\n';
        return exit_code::usage_error;
    }
    std::optional<std::uint32_t> timeout_ms;
    if (!parse_number_option(line, "expect", options.expected) ||
        !parse_number_option(line, "patience-ms", timeout_ms)) {
        return exit_code::usage_error;
    }
    options.timeout = timeout_ms ? duration(milliseconds(*timeout_ms)) : options.timeout;
    if (line.is_set("wait") && targets.value().peers.empty()) {
        std::cerr
            << "--wait needs the address of at least one node: give --peers, or --settings with seeds\n";
        return exit_code::usage_error;
    }
    const auto config = read_configuration(line.value("file"));
    if (!config) {
        return exit_code::failure;
    }
    operator_session session(std::move(targets.value()));
    configuration_apply attempt(json_configuration_codec(), encode_configuration(*config),
                                std::move(options));
    const auto result = apply_runner(session, std::move(attempt)).run();
    return report_result(session, result, line.is_set("wait"));
}

} // namespace skylarkseam
