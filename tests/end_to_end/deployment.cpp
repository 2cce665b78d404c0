#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <tests/end_to_end/deployment.hpp>

namespace skylarkseam::testing {
namespace {

const std::string binaries = SKYLARKSEAM_BINARY_DIR;

constexpr const char* services = R"(
---
kind: service
name: search
upstream_group: group
deadline_ms: 5000
minimum_coverage: 0.5
idempotent: true
class: interactive
---
kind: service
name: billing
upstream_group: group
deadline_ms: 5000
minimum_coverage: 0
idempotent: false
class: interactive
)";

std::string new_folder() {
    std::string pattern = std::filesystem::temp_directory_path().string() + "/skylarkseam-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a folder for the test");
    }
    return pattern;
}

void write(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
}

} // namespace

deployment::deployment(deployment_size size)
    : folder_(new_folder()) {
    const auto standin = binaries + "/skylarkseam-standin";
    platform_ =
        std::make_unique<child_process>(standin, std::vector<std::string>{"platform"}, path("platform.log"));
    platform_address_ = platform_->wait_for("event=listening", "address");
    searchers_ = std::make_unique<child_process>(
        standin,
        std::vector<std::string>{"searcher", "--searchers", std::to_string(size.searchers), "--shards",
                                 std::to_string(size.shards), "--replicas", std::to_string(size.replicas),
                                 "--cold-interval-ms", "100", "--write-config", path("searchers.yaml")},
        path("searchers.log"));
    control_address_ = searchers_->wait_for("role=control", "address");
    const std::vector<std::string> zones{"a", "b", "c"};
    for (int it = 0; it < size.nodes; ++it) {
        start_node("entry-" + std::to_string(it + 1), zones[static_cast<std::size_t>(it) % zones.size()]);
    }
    std::ifstream searchers(path("searchers.yaml"));
    write(path("configuration.yaml"), std::string(std::istreambuf_iterator<char>(searchers), {}) + services);
    if (command({"apply", "-f", path("configuration.yaml"), "--platform", platform_url()}) != 0) {
        throw std::runtime_error("the configuration was not applied: " + command_output_);
    }
    for (const auto& [name, it] : nodes_) {
        if (!wait_until_ready(name)) {
            throw std::runtime_error(name + " did not become ready: " + it.process->output());
        }
    }
}

deployment::~deployment() {
    nodes_.clear();
    searchers_.reset();
    platform_.reset();
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
}

child_process& deployment::start_node(const std::string& name, const std::string& zone) {
    std::string seeds;
    for (const auto& [other, it] : nodes_) {
        seeds += (seeds.empty() ? "\"" : ", \"") + it.peers + "\"";
    }
    write(path(name + ".yaml"), "node: {name: " + name + ", availability_zone: " + zone + ", region: r}\n" +
                                    "listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", peers: " +
                                    "\"127.0.0.1:0\"}\nplatform: {url: \"" + platform_url() +
                                    "\"}\nseeds: [" + seeds + "]\n");
    auto& it = nodes_[name];
    it.process = std::make_unique<child_process>(
        binaries + "/skylarkseam", std::vector<std::string>{"node", "--settings", path(name + ".yaml")},
        path(name + ".log"));
    it.callers = it.process->wait_for("event=listening", "callers");
    it.admin = it.process->wait_for("event=listening", "admin");
    it.peers = it.process->wait_for("event=listening", "peers");
    return *it.process;
}

bool deployment::answers_whole(const std::string& name) {
    const auto response = fetch(query(name, "search", "probe", "probe", "0"));
    return response.body.find(R"("fraction":1.0)") != std::string::npos;
}

bool deployment::wait_until_ready(const std::string& name) {
    constexpr int most_tries = 1000;
    for (int it = 0; it < most_tries; ++it) {
        http_request request;
        request.url = "http://" + callers_address(name) + "/healthz";
        if (fetch(std::move(request)).status == 200 && answers_whole(name)) {
            return true;
        }
        loop_.run_once(milliseconds(20));
    }
    return false;
}

void deployment::send(http_request request, std::function<void(http_response)> on_answer) {
    http_.send(std::move(request), std::move(on_answer));
}

http_response deployment::fetch(http_request request) {
    http_response response;
    bool done = false;
    send(std::move(request), [&](http_response it) {
        response = std::move(it);
        done = true;
    });
    run_until([&] { return done; });
    return response;
}

http_request deployment::query(const std::string& node, const std::string& service, const std::string& caller,
                               const std::string& request_id, const std::string& query_json) const {
    http_request request;
    request.method = "POST";
    request.url = "http://" + callers_address(node) + "/v1/services/" + service + "/query";
    request.headers = {"X-Caller: " + caller, "X-Request-Id: " + request_id};
    request.body = R"({"query":)" + query_json + R"(,"limit":10})";
    request.timeout = seconds(10);
    return request;
}

bool deployment::run_until(const std::function<bool()>& done) {
    constexpr int most_turns = 60'000;
    for (int it = 0; it < most_turns && !done(); ++it) {
        loop_.run_once(milliseconds(10));
    }
    return done();
}

int deployment::command(const std::vector<std::string>& args) {
    const auto output = path("command-" + std::to_string(++commands_) + ".log");
    child_process process(binaries + "/skylarkseam", args, output);
    const int code = process.wait();
    command_output_ = process.output();
    return code;
}

} // namespace skylarkseam::testing
