#include <skylarkseam/cli/command_parts.hpp>
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

constexpr duration confirmation_patience = seconds(10);

std::string new_token() {
    std::random_device source;
    std::string token;
    for (int n = 0; n < 4; ++n) {
        token += (token.empty() ? "" : "-") + std::to_string(source());
    }
    return token;
}

/// Runs one attempt on the event loop.
class apply_run {
public:
    apply_run(operator_session& session, configuration_apply attempt)
        : session_(session)
        , attempt_(std::move(attempt))
        , timer_(session.loop(), [this] { on_time(); }) {}

    apply_result run() {
        std::vector<platform_call> calls;
        attempt_.start(session_.loop().now(), calls);
        go_on(calls);
        session_.loop().run();
        return *attempt_.result();
    }

private:
    void go_on(const std::vector<platform_call>& calls) {
        if (attempt_.result()) {
            session_.loop().stop();
            return;
        }
        for (const auto& it : calls) {
            session_.platform().call(it.request, [this, id = it.id](platform_response answer) {
                std::vector<platform_call> next;
                attempt_.handle({id, std::move(answer)}, session_.loop().now(), next);
                go_on(next);
            });
        }
        timer_.set(attempt_.next_wakeup());
    }

    void on_time() {
        std::vector<platform_call> next;
        attempt_.handle_time(session_.loop().now(), next);
        go_on(next);
    }

    operator_session& session_;
    configuration_apply attempt_;
    wakeup_timer timer_;
};

/// What a lost race means to the operator: what the other change did.
void explain_race(operator_session& session, const apply_result& result) {
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
    const auto behind = wait_for(session, generation, confirmation_patience);
    for (const auto& it : behind) {
        std::cerr << "not confirmed: " << to_string(it) << '\n';
    }
    return behind.empty() ? exit_code::done : exit_code::refused;
}

exit_code report(operator_session& session, const apply_result& result, bool wait) {
    switch (result.outcome) {
    case apply_outcome::applied:
    case apply_outcome::unchanged:
        std::cout << "generation " << result.generation
                  << (result.outcome == apply_outcome::unchanged ? " (unchanged)" : "") << '\n';
        if (!result.detail.empty()) {
            std::cerr << result.detail << '\n';
        }
        return wait ? wait_until_confirmed(session, result.generation) : exit_code::done;
    case apply_outcome::lost_race:
        explain_race(session, result);
        return exit_code::refused;
    case apply_outcome::refused:
        std::cerr << "nothing was applied: " << result.detail << '\n';
        return exit_code::refused;
    case apply_outcome::unknown:
        break;
    }
    std::cerr << "it is unknown whether the change was applied: " << result.detail
              << "; when the platform answers again, see `skylarkseam diff`\n";
    return exit_code::unknown;
}

/// A whole number that an argument gives; false if it is none.
template <typename Number>
bool read_number(const command_line& line, const std::string& name, std::optional<Number>& out) {
    if (!line.is_set(name)) {
        return true;
    }
    const auto text = line.value(name);
    Number value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    out = value;
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
        std::cerr << "--" << name << " must be a whole number\n";
        return false;
    }
    return true;
}

} // namespace

exit_code apply_command(const arguments& args) {
    command_line line("skylarkseam apply", "Applies a configuration, whole or not at all.");
    line.add_required("f,file", "a YAML file, or a folder of them");
    add_target_arguments(line);
    line.add("expect", "refuse unless this generation is in force; 0 for none");
    line.add("patience-ms", "how long to try, and to settle a lost answer; 15000 unless given");
    line.add_switch("wait", "wait until the nodes have it in force, and name those that have not");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    apply_options options;
    options.token = new_token();
    auto targets = read_targets(line);
    if (!targets) {
        std::cerr << targets.error().detail << '\n';
        return exit_code::usage;
    }
    std::optional<std::uint32_t> patience_ms;
    if (!read_number(line, "expect", options.expected) || !read_number(line, "patience-ms", patience_ms)) {
        return exit_code::usage;
    }
    options.timeout = patience_ms ? duration(milliseconds(*patience_ms)) : options.timeout;
    if (line.is_set("wait") && targets.value().peers.empty()) {
        std::cerr << "--wait needs nodes to ask, by --settings with seeds or by --peers\n";
        return exit_code::usage;
    }
    const auto config = read_configuration(line.value("file"));
    if (!config) {
        return exit_code::refused;
    }
    operator_session session(std::move(targets.value()));
    configuration_apply attempt(json_configuration_codec(), encode_configuration(*config),
                                std::move(options));
    const auto result = apply_run(session, std::move(attempt)).run();
    return report(session, result, line.is_set("wait"));
}

} // namespace skylarkseam
