#include <skylarkseam/cli/command_line.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace skylarkseam {

struct command_line::impl {
    cxxopts::Options options;
    cxxopts::ParseResult parsed;
    std::vector<std::string> required;
};

command_line::command_line(const std::string& command, const std::string& purpose)
    : impl_(new impl{cxxopts::Options(command, purpose), {}, {}}) {
    add_flag("h,help", "print this help text");
    add_flag("version", "print the version");
}

command_line::~command_line() = default;

void command_line::add_required_option(const std::string& name, const std::string& help) {
    impl_->options.add_options()(name, help, cxxopts::value<std::string>());
    impl_->required.push_back(name.substr(name.find(',') + 1));
}

void command_line::add_option(const std::string& name, const std::string& help,
                              const std::string& default_value) {
    impl_->options.add_options()(name, help, cxxopts::value<std::string>()->default_value(default_value));
}

void command_line::add_flag(const std::string& name, const std::string& help) {
    impl_->options.add_options()(name, help);
}

std::optional<exit_code> command_line::parse(const arguments& args) {
    std::vector<const char*> raw{impl_->options.program().c_str()};
    for (const auto& it : args) {
        raw.push_back(it.c_str());
    }
    try {
        impl_->parsed = impl_->options.parse(static_cast<int>(raw.size()), raw.data());
    } catch (const cxxopts::exceptions::exception& ec) {
        std::cerr << ec.what() << "\nfor the arguments, run: " << impl_->options.program() << " --help\n";
        return exit_code::usage_error;
    }
    if (is_set("help")) {
        std::cout << impl_->options.help();
        return exit_code::success;
    }
    if (is_set("version")) {
        std::cout << "skylarkseam " << SKYLARKSEAM_VERSION << '\n';
        return exit_code::success;
    }
    for (const auto& it : impl_->required) {
        if (!is_set(it)) {
            std::cerr << "the option --" << it
                      << " is missing\nfor the arguments, run: " << impl_->options.program() << " --help\n";
            return exit_code::usage_error;
        }
    }
    return std::nullopt;
}

std::string command_line::value(const std::string& name) const {
    return impl_->parsed[name].as<std::string>();
}

bool command_line::is_set(const std::string& name) const {
    return impl_->parsed.count(name) > 0;
}

} // namespace skylarkseam
