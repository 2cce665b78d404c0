#include <skylarkseam/cli/files.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace skylarkseam {
namespace {

namespace fs = std::filesystem;

bool is_yaml(const fs::path& path) {
    return path.extension() == ".yaml" || path.extension() == ".yml";
}

} // namespace

result<source_file> read_source(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return make_error(error_kind::not_found, "cannot read " + path);
    }
    return source_file{path, text.str()};
}

result<std::vector<source_file>> read_sources(const std::string& path) {
    std::error_code ec;
    std::vector<std::string> paths{path};
    if (fs::is_directory(path, ec)) {
        paths.clear();
        for (const auto& it : fs::directory_iterator(path, ec)) {
            if (is_yaml(it.path())) {
                paths.push_back(it.path().string());
            }
        }
        std::sort(paths.begin(), paths.end());
    }
    std::vector<source_file> sources;
    for (const auto& it : paths) {
        BOOST_OUTCOME_TRY(source, read_source(it));
        sources.push_back(std::move(source));
    }
    return sources;
}

void print_faults(const std::vector<document_fault>& faults) {
    for (const auto& it : faults) {
        std::cerr << to_string(it) << '\n';
    }
}

} // namespace skylarkseam
