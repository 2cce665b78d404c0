#include <skylarkseam/cli/command_line.hpp>
#include <skylarkseam/cli/commands.hpp>
#include <skylarkseam/cli/files.hpp>
#include <skylarkseam/shell/platform_client.hpp>
#include <skylarkseam/wire/configuration_json.hpp>
#include <skylarkseam/wire/configuration_yaml.hpp>

#include <iostream>
#include <random>

namespace skylarkseam {
namespace {

platform_request head_request(platform_method method) {
    platform_request request;
    request.method = method;
    request.kind = configuration_kind;
    request.name = configuration_name;
    return request;
}

std::string new_token() {
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

/// Reads the head, and replaces it on the condition that nobody else has.
class apply_run {
public:
    apply_run(std::string url, const configuration& config)
        : platform_(http_, std::move(url))
        , config_(config) {}

    exit_code run() {
        platform_.call(head_request(platform_method::get),
                       [this](const platform_response& response) { update(response); });
        loop_.run();
        return code_;
    }

private:
    void update(const platform_response& current) {
        if (current.status == platform_status::not_found) {
            write(head_request(platform_method::create), 0);
            return;
        }
        if (current.status != platform_status::ok) {
            end(exit_code::refused, "the platform cannot be read: " + current.detail);
            return;
        }
        const auto head = json_configuration_codec().decode_head(current.objects.front().value_json);
        if (!head) {
            end(exit_code::refused, head.error().detail);
            return;
        }
        auto request = head_request(platform_method::update);
        request.version = current.version;
        write(request, head.value().generation);
    }

    void write(platform_request request, generation_id before) {
        auto head = make_configuration_head(config_, new_token());
        head.generation = before + 1;
        request.value_json = json_configuration_codec().encode_head(head);
        platform_.call(request, [this, before](const platform_response& response) {
            if (response.status == platform_status::ok) {
                std::cout << "generation " << before + 1 << '\n';
                end(exit_code::done, {});
            } else if (response.status == platform_status::unavailable && !response.not_sent) {
                end(exit_code::unknown, "no answer came: whether it took effect is unknown");
            } else {
                end(exit_code::refused, "nothing was applied: " + response.detail);
            }
        });
    }

    void end(exit_code code, const std::string& text) {
        if (!text.empty()) {
            std::cerr << text << '\n';
        }
        code_ = code;
        loop_.stop();
    }

    event_loop loop_;
    http_client http_{loop_};
    platform_client platform_;
    const configuration& config_;
    exit_code code_ = exit_code::refused;
};

} // namespace

exit_code apply_command(const arguments& args) {
    command_line line("skylarkseam apply", "Applies a configuration, whole or not at all.");
    line.add_required("f,file", "a YAML file, or a folder of them");
    line.add_required("platform", "the platform's URL");
    if (const auto ended = line.parse(args)) {
        return *ended;
    }
    const auto sources = read_sources(line.value("file"));
    if (!sources) {
        std::cerr << sources.error().detail << '\n';
        return exit_code::refused;
    }
    const auto checked = parse_configuration(sources.value());
    if (!checked.faults.empty()) {
        print_faults(checked.faults);
        return exit_code::refused;
    }
    return apply_run(line.value("platform"), checked.value).run();
}

} // namespace skylarkseam
