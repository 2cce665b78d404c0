#include <skylarkseam/cli/files.hpp>
#include <skylarkseam/cli/settings_file.hpp>
#include <skylarkseam/wire/settings_yaml.hpp>

#include <iostream>

namespace skylarkseam {

std::optional<node_settings> read_settings_file(const std::string& path) {
    const auto source = read_source(path);
    if (!source) {
        std::cerr << source.error().detail << '\n';
        return std::nullopt;
    }
    auto settings = parse_settings(source.value());
    if (!settings.faults.empty()) {
        print_faults(settings.faults);
        return std::nullopt;
    }
    return std::move(settings.value);
}

} // namespace skylarkseam
