// Parser for the arguments of one command, based on cxxopts. Every command has --help and --version.
#pragma once

#include <skylarkseam/cli/commands.hpp>

#include <memory>
#include <optional>
#include <string>

namespace skylarkseam {

class command_line {
public:
    command_line(const std::string& command, const std::string& purpose);
    ~command_line();
    command_line(const command_line&) = delete;
    command_line& operator=(const command_line&) = delete;

    void add_required_option(const std::string& name, const std::string& help);
    void add_option(const std::string& name, const std::string& help, const std::string& default_value = {});
    void add_flag(const std::string& name, const std::string& help);

    /// Parses the arguments and handles --help, --version and usage errors, whose text it prints.
    /// \return the exit code if the command must end here, otherwise nothing
    [[nodiscard]] std::optional<exit_code> parse(const arguments& args);

    [[nodiscard]] std::string value(const std::string& name) const;
    [[nodiscard]] bool is_set(const std::string& name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
