// The operators' commands and how a configuration reaches the nodes, on real processes.
#include <skylarkseam/shell/http_server.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <map>
#include <sstream>
#include <tests/end_to_end/deployment.hpp>

using namespace skylarkseam;
using namespace skylarkseam::testing;
using nlohmann::json;

namespace {

/// A deployment, and what the operator has in hand.
struct operator_fixture {
    deployment all;

    [[nodiscard]] std::string file() const { return all.folder() + "/configuration.yaml"; }
    [[nodiscard]] std::string peers() const {
        return all.peers_address("entry-1") + "," + all.peers_address("entry-2") + "," +
               all.peers_address("entry-3");
    }

    /// Writes a copy of the configuration with another deadline of its first service.
    std::string changed_file(int deadline_ms) {
        std::ostringstream text;
        text << std::ifstream(file()).rdbuf();
        auto changed = text.str();
        const std::string from = "deadline_ms: 5000";
        changed.replace(changed.find(from), from.size(), "deadline_ms: " + std::to_string(deadline_ms));
        auto path = all.folder() + "/changed-" + std::to_string(deadline_ms) + ".yaml";
        std::ofstream(path) << changed;
        return path;
    }

    int run(std::vector<std::string> args) {
        args.insert(args.end(), {"--platform", all.platform_url()});
        return all.command(args);
    }

    void set_faults(const std::string& body) {
        http_request request;
        request.method = "POST";
        request.url = all.platform_url() + "/faults";
        request.body = body;
        const auto status = all.fetch(std::move(request)).status;
        BOOST_TEST(status == 200);
    }

    /// A value of the configuration section of a node's state.
    json state(const std::string& node, const std::string& key) {
        http_request request;
        request.url = "http://" + all.admin_address(node) + "/state";
        const auto body = json::parse(all.fetch(std::move(request)).body, nullptr, false);
        return body.at("configuration").at(key);
    }

    /// The commands of a page, with its example's places replaced by this deployment's.
    std::vector<std::vector<std::string>> commands_of(const std::string& page) {
        const std::map<std::string, std::string> places{
            {"http://127.0.0.1:7000", all.platform_url()},
            {"127.0.0.1:7002", all.admin_address("entry-1")},
            {"127.0.0.1:7003", all.peers_address("entry-1")},
            {"deployment/", file()},
            {"node.yaml", all.folder() + "/entry-3.yaml"},
        };
        std::vector<std::vector<std::string>> commands;
        std::ifstream in(std::string(SKYLARKSEAM_SOURCE_DIR) + "/docs/" + page);
        for (std::string line; std::getline(in, line);) {
            std::istringstream words(line);
            std::string word;
            if (!line.starts_with("    ") || !(words >> word) || word != "skylarkseam") {
                continue;
            }
            auto& args = commands.emplace_back();
            while (words >> word) {
                const auto place = places.find(word);
                args.push_back(place == places.end() ? word : place->second);
            }
        }
        return commands;
    }

    [[nodiscard]] bool says(const std::string& text) const {
        return all.command_output().find(text) != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operators_commands, operator_fixture)

BOOST_AUTO_TEST_CASE(a_change_is_looked_at_applied_and_confirmed) {
    const auto changed = changed_file(4000);
    BOOST_TEST(run({"diff", "-f", changed}) == 0);
    BOOST_TEST(says("~ service search: deadline_ms: 5000 -> 4000"), all.command_output());

    BOOST_TEST(run({"apply", "-f", changed, "--wait", "--peers", peers()}) == 0);
    BOOST_TEST(says("generation 2"), all.command_output());
    for (const auto* node : {"entry-1", "entry-2", "entry-3"}) {
        BOOST_TEST(state(node, "generation") == 2);
    }

    BOOST_TEST(run({"get"}) == 0);
    const auto stored = all.folder() + "/stored.yaml";
    std::ofstream(stored) << all.command_output();
    BOOST_TEST(run({"apply", "-f", stored}) == 0);
    BOOST_TEST(says("generation 2 (unchanged)"), all.command_output());

    BOOST_TEST(run({"status", "--peers", peers()}) == 0);
    BOOST_TEST(says("entry-3 (" + all.peers_address("entry-3") + "): generation 2"), all.command_output());
    BOOST_TEST(all.command({"dump", "--node", all.admin_address("entry-1")}) == 0);
    BOOST_TEST(json::parse(all.command_output()).at("configuration").at("generation") == 2);
}

BOOST_AUTO_TEST_CASE(the_commands_of_the_pages_work_as_written) {
    for (const auto* page : {"configuration.md", "runbooks/change-configuration.md"}) {
        const auto commands = commands_of(page);
        BOOST_TEST(commands.size() >= 5U);
        for (const auto& it : commands) {
            BOOST_TEST(all.command(it) == 0, it.front() << ": " << all.command_output());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_node_that_has_not_confirmed_is_named) {
    const auto silent = all.peers_address("entry-3");
    all.node("entry-3").signal(SIGSTOP);
    BOOST_TEST(run({"apply", "-f", changed_file(4100), "--wait", "--peers", peers()}) == 1);
    all.node("entry-3").signal(SIGCONT);
    BOOST_TEST(says("generation 2"));
    BOOST_TEST(says("not confirmed: " + silent + ": no answer"), all.command_output());
    BOOST_TEST(!says(all.peers_address("entry-1")));
}

BOOST_AUTO_TEST_CASE(the_platform_fails_after_acceptance_and_a_new_node_starts_from_its_peers) {
    BOOST_TEST(run({"apply", "-f", changed_file(4200), "--wait", "--peers", peers()}) == 0);
    set_faults(R"({"down":true})");
    all.start_node("entry-4", "a");
    BOOST_TEST(all.wait_until_ready("entry-4"));
    BOOST_TEST(state("entry-4", "generation") == 2);
    BOOST_TEST(run({"apply", "-f", changed_file(4300), "--patience-ms", "600"}) == 1);
    BOOST_TEST(says("nothing was applied"), all.command_output());
    BOOST_TEST(run({"status", "--peers", peers()}) == 1);
    BOOST_TEST(says("platform: the platform cannot be read"), all.command_output());
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back) {
    set_faults(R"({"lose_answers":1.0})");
    BOOST_TEST(run({"apply", "-f", changed_file(4400)}) == 0);
    BOOST_TEST(says("generation 2"), all.command_output());
    set_faults(R"({"lose_answers":0.5})");
    BOOST_TEST(run({"apply", "-f", changed_file(4500)}) == 0);
    set_faults(R"({"lose_answers":0.0})");
    BOOST_TEST(run({"diff", "-f", changed_file(4500)}) == 0);
    BOOST_TEST(says("no difference"), all.command_output());
}

BOOST_AUTO_TEST_CASE(of_two_operators_who_expect_the_same_generation_one_wins) {
    const auto program = std::string(SKYLARKSEAM_BINARY_DIR) + "/skylarkseam";
    const auto begin = [&](int deadline_ms) {
        const auto name = std::to_string(deadline_ms);
        return std::make_unique<child_process>(
            program,
            std::vector<std::string>{"apply", "-f", changed_file(deadline_ms), "--expect", "1", "--platform",
                                     all.platform_url()},
            all.folder() + "/apply-" + name + ".log");
    };
    const auto one = begin(4600);
    const auto two = begin(4700);
    const auto first = one->wait();
    const auto second = two->wait();
    BOOST_TEST(first + second == 1, one->output() + two->output());
    const auto& loser = first == 0 ? *two : *one;
    BOOST_TEST(loser.output().find("nothing was applied") != std::string::npos, loser.output());
    BOOST_TEST(loser.output().find("generation 2 is in force") != std::string::npos, loser.output());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(commands_without_a_deployment)

namespace {

/// Runs the program; its exit code and output.
std::pair<int, std::string> run_program(const std::vector<std::string>& args) {
    const std::string output = std::string(SKYLARKSEAM_BINARY_DIR) + "/command-test.log";
    child_process process(std::string(SKYLARKSEAM_BINARY_DIR) + "/skylarkseam", args, output);
    const auto code = process.wait();
    return {code, process.output()};
}

const std::string examples = std::string(SKYLARKSEAM_SOURCE_DIR) + "/examples/";

} // namespace

BOOST_AUTO_TEST_CASE(the_users_deployments_are_correct) {
    for (const auto* it : {"consorzio", "malabar"}) {
        const auto [code, output] = run_program({"check", "-f", examples + it});
        BOOST_TEST(code == 0, output);
    }
}

BOOST_AUTO_TEST_CASE(faults_are_named_and_the_exit_codes_are_the_stated_ones) {
    const auto path = std::string(SKYLARKSEAM_BINARY_DIR) + "/faulty.yaml";
    std::ofstream(path) << "kind: service\nname: a\nupstream_group: none\ndeadline_ms: 0\n";
    const auto [code, output] = run_program({"check", "-f", path});
    BOOST_TEST(code == 1);
    BOOST_TEST(output ==
               path + ":3: service a: upstream_group: there is no upstream_group 'none'\n" + path +
                   ":4: service a: deadline_ms: must be a whole number from 1 to 600000, not '0'\n");
    BOOST_TEST(run_program({"check", "-f", path + ".not-there"}).first == 1);
    BOOST_TEST(run_program({"check"}).first == 2);
    BOOST_TEST(run_program({"check", "-f", path, "--settings", path}).first == 2);
    BOOST_TEST(run_program({"check", "--colour"}).first == 2);
    BOOST_TEST(run_program({"paint"}).first == 2);
    BOOST_TEST(run_program({"apply", "-f", path}).first == 2);
    BOOST_TEST(
        run_program({"apply", "-f", examples + "malabar", "--platform", "http://127.0.0.1:1", "--wait"})
            .first == 2);
    BOOST_TEST(
        run_program({"apply", "-f", path, "--platform", "http://127.0.0.1:1", "--expect", "x"}).first == 2);
    BOOST_TEST(run_program({"get", "--platform", "http://127.0.0.1:1"}).first == 1);
    BOOST_TEST(run_program({"dump", "--node", "127.0.0.1:1"}).first == 1);
}

BOOST_AUTO_TEST_CASE(settings_of_nodes_and_gateways_are_checked_without_starting_one) {
    const auto path = std::string(SKYLARKSEAM_BINARY_DIR) + "/settings-to-check.yaml";
    const std::string node =
        "node: {name: entry-1, availability_zone: kochi, region: south}\n"
        "listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}\n"
        "platform: {url: \"http://127.0.0.1:7000\"}\n";
    std::ofstream(path) << node;
    BOOST_TEST((run_program({"check", "--settings", path}) ==
                std::pair(0, std::string("correct: settings of node entry-1\n"))));

    std::ofstream(path) << node
                        << "gateway: {readiness: \"127.0.0.1:0\", zones: [{name: kochi, region: south}]}\n";
    BOOST_TEST((run_program({"check", "--settings", path}) ==
                std::pair(0, std::string("correct: settings of gateway entry-1\n"))));

    std::ofstream(path) << node << "gateway: {readiness: nowhere, zones: []}\n";
    const auto [code, output] = run_program({"check", "--settings", path});
    BOOST_TEST(code == 1);
    BOOST_TEST(output.find(path + ":4: ") != std::string::npos, output);
}

BOOST_AUTO_TEST_CASE(what_cannot_be_settled_is_said_to_be_unknown) {
    event_loop loop;
    bool written = false;
    http_server platform(loop, {}, [&](const incoming_request& request, const respond& answer) {
        written = written || request.method == "PUT";
        answer({written ? 500 : 404, "{}", "application/json", {}});
    });
    const auto url = "http://" + platform.listen("127.0.0.1:0");
    child_process process(std::string(SKYLARKSEAM_BINARY_DIR) + "/skylarkseam",
                          {"apply", "-f", examples + "malabar", "--platform", url, "--patience-ms", "500"},
                          std::string(SKYLARKSEAM_BINARY_DIR) + "/command-test.log");
    constexpr int turns = 300;
    for (int n = 0; n < turns; ++n) {
        loop.run_once(milliseconds(10));
    }
    BOOST_TEST(written);
    BOOST_TEST(process.wait() == 3);
    BOOST_TEST(process.output().find("unknown") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_command_has_help_and_version) {
    for (const auto* it : {"node", "gateway", "check", "apply", "get", "diff", "status", "dump", "jobs",
                           "effects", "ledger"}) {
        const auto help = run_program({it, "--help"});
        BOOST_TEST(help.first == 0);
        BOOST_TEST(help.second.find("--help") != std::string::npos);
        BOOST_TEST(run_program({it, "--version"}).second.starts_with("skylarkseam "));
    }
}

BOOST_AUTO_TEST_SUITE_END()
