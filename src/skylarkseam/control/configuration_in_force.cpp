#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/control/configuration_in_force.hpp>
#include <skylarkseam/core/content_hash.hpp>

namespace skylarkseam {

result<bool> configuration_in_force::install(configuration_candidate candidate) {
    if (candidate.generation <= installed_.generation) {
        return false;
    }
    if (content_hash(candidate.body) != candidate.hash) {
        return make_error(error_kind::invalid_configuration, "the body does not match its hash");
    }
    auto config = codec_.decode_body(candidate.body, candidate.generation);
    if (config.has_error()) {
        return config.error();
    }
    installed_ = std::move(candidate);
    config_ = std::move(config.value());
    parts_.clear();
    part_hashes_.clear();
    for (auto& it : split_into_parts(installed_.body)) {
        part_hashes_.push_back(it.hash);
        parts_.emplace(std::move(it.hash), it.text);
    }
    return true;
}

configuration_message::manifest configuration_in_force::manifest() const {
    return {installed_.generation, installed_.token, installed_.hash, part_hashes_};
}

std::string_view configuration_in_force::part(const std::string& hash) const {
    const auto found = parts_.find(hash);
    return found == parts_.end() ? std::string_view() : found->second;
}

} // namespace skylarkseam
