#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/control/configuration_fetch.hpp>
#include <skylarkseam/control/content_hash.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::size_t most_sources = 4;
constexpr std::uint32_t most_retries = 8;
constexpr std::size_t most_parts = 100'000;

error violation(std::string text) {
    return make_error(error_kind::protocol_violation, std::move(text));
}

} // namespace

bool configuration_fetch::offer(generation_id generation, const std::string& address) {
    if (address.empty() || generation <= in_force_.generation()) {
        return false;
    }
    if (running() && generation <= target_) {
        if (generation == target_ && more_sources_.size() < most_sources) {
            more_sources_.push_back(address);
        }
        return false;
    }
    target_ = generation;
    source_ = address;
    retries_ = 0;
    more_sources_.clear();
    manifest_.reset();
    missing_.clear();
    return true;
}

bool configuration_fetch::retry() {
    if (++retries_ > most_retries) {
        stop();
        return false;
    }
    // Texts and the names of parts stay good: every source of a generation has the same.
    more_sources_.push_back(std::move(source_));
    source_ = std::move(more_sources_.front());
    more_sources_.pop_front();
    return true;
}

bool configuration_fetch::next_source() {
    manifest_.reset();
    missing_.clear();
    if (more_sources_.empty()) {
        stop();
        return false;
    }
    source_ = std::move(more_sources_.front());
    more_sources_.pop_front();
    return true;
}

void configuration_fetch::stop() {
    source_.clear();
    more_sources_.clear();
    manifest_.reset();
    missing_.clear();
    texts_.clear();
}

any_configuration_message configuration_fetch::request() const {
    if (!manifest_) {
        return configuration_message::manifest_request{};
    }
    configuration_message::parts_request parts;
    const auto n = std::min(missing_.size(), parts_in_a_request);
    parts.parts.assign(missing_.begin(), missing_.begin() + static_cast<std::ptrdiff_t>(n));
    return parts;
}

result<std::optional<configuration_candidate>> configuration_fetch::take(any_configuration_message reply) {
    if (auto* manifest = std::get_if<configuration_message::manifest>(&reply);
        manifest != nullptr && !manifest_) {
        return take_manifest(std::move(*manifest));
    }
    if (auto* parts = std::get_if<configuration_message::parts>(&reply); parts != nullptr && manifest_) {
        return take_parts(std::move(*parts));
    }
    return violation("a reply of another kind than was asked for");
}

result<std::optional<configuration_candidate>>
configuration_fetch::take_manifest(configuration_message::manifest manifest) {
    if (manifest.generation < target_ || manifest.parts.empty() || manifest.parts.size() > most_parts) {
        return violation("a manifest of a lower generation, or without parts");
    }
    target_ = manifest.generation;
    missing_.clear();
    std::set<std::string> seen;
    for (const auto& it : manifest.parts) {
        if (!seen.insert(it).second || texts_.contains(it)) {
            continue;
        }
        if (in_force_.part(it).empty()) {
            missing_.push_back(it);
        } else {
            ++reused_;
        }
    }
    manifest_ = std::move(manifest);
    return complete();
}

result<std::optional<configuration_candidate>>
configuration_fetch::take_parts(configuration_message::parts parts) {
    if (parts.texts.empty() || parts.texts.size() > missing_.size()) {
        return violation("the peer no longer has the parts");
    }
    for (std::size_t n = 0; n < parts.texts.size(); ++n) {
        if (parts.texts[n].size() > longest_body_part || content_hash(parts.texts[n]) != missing_[n]) {
            return violation("a part is not what its name says");
        }
        texts_[missing_[n]] = std::move(parts.texts[n]);
        ++fetched_;
    }
    missing_.erase(missing_.begin(), missing_.begin() + static_cast<std::ptrdiff_t>(parts.texts.size()));
    return complete();
}

std::optional<configuration_candidate> configuration_fetch::complete() const {
    if (!missing_.empty()) {
        return std::nullopt;
    }
    configuration_candidate candidate{manifest_->generation, manifest_->token, manifest_->hash, {}, source_};
    for (const auto& it : manifest_->parts) {
        const auto found = texts_.find(it);
        candidate.body += found == texts_.end() ? in_force_.part(it) : std::string_view(found->second);
    }
    return candidate;
}

} // namespace skylarkseam
