// The arguments of one command, by cxxopts; --help and --version belong to every command.
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

    void add_required(const std::string& name, const std::string& help);
    void add(const std::string& name, const std::string& help, const std::string& default_value = {});
    void add_switch(const std::string& name, const std::string& help);

    /// Nothing where the command goes on; else the exit code, and the text has been printed.
    [[nodiscard]] std::optional<exit_code> parse(const arguments& args);

    [[nodiscard]] std::string value(const std::string& name) const;
    [[nodiscard]] bool is_set(const std::string& name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam
