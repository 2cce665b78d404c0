#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <tests/end_to_end/child_process.hpp>
#include <thread>
#include <unistd.h>

namespace skylarkseam::testing {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(10);
constexpr int most_polls = 6000;

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& args,
                             std::string output)
    : output_(std::move(output)) {
    std::vector<std::string> all{program};
    all.insert(all.end(), args.begin(), args.end());
    std::vector<char*> raw;
    raw.reserve(all.size() + 1);
    for (auto& it : all) {
        raw.push_back(it.data());
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, output_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int ec = posix_spawn(&pid_, program.c_str(), &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

child_process::~child_process() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

int child_process::wait() {
    for (int it = 0; it < most_polls; ++it) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return -1;
}

std::string child_process::output() const {
    std::ifstream file(output_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::int64_t child_process::processor_us() const {
    constexpr int fields_before_user_time = 11; // after the program's name, which may hold blanks
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int it = 0; it < fields_before_user_time; ++it) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return (user + system) * 1'000'000 / ::sysconf(_SC_CLK_TCK);
}

std::int64_t child_process::resident_bytes() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

std::string child_process::wait_for(const std::string& line, const std::string& key) const {
    for (int it = 0; it < most_polls; ++it) {
        std::istringstream lines(output());
        for (std::string text; std::getline(lines, text);) {
            const auto at = text.find(" " + key + "=");
            if (text.find(line) != std::string::npos && at != std::string::npos && !lines.eof()) {
                const auto begin = at + key.size() + 2;
                return text.substr(begin, text.find(' ', begin) - begin);
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return {};
}

} // namespace skylarkseam::testing
