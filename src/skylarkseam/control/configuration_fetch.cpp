#include <skylarkseam/control/body_parts.hpp>
#include <skylarkseam/control/configuration_fetch.hpp>
#include <skylarkseam/core/content_hash.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::size_t max_alternate_sources = 4;
constexpr std::uint32_t max_retries = 8;
constexpr std::size_t max_parts = 100'000;

error violation(std::string text) {
    return make_error(error_kind::protocol_violation, std::move(text));
}

} // namespace

bool configuration_fetch::add_source(generation_id generation, const std::string& address) {
    if (address.empty() || generation <= in_force_.generation()) {
        return false;
    }
    if (running() && generation <= target_) {
        if (generation == target_ && alternate_sources_.size() < max_alternate_sources) {
            alternate_sources_.push_back(address);
        }
        return false;
    }
    target_ = generation;
    source_ = address;
    retries_ = 0;
    alternate_sources_.clear();
    manifest_.reset();
    missing_.clear();
    return true;
}

bool configuration_fetch::retry() {
    if (++retries_ > max_retries) {
        stop();
        return false;
    }
    // The manifest and the fetched texts stay valid, since all sources of a generation have the same parts.
    alternate_sources_.push_back(std::move(source_));
    source_ = std::move(alternate_sources_.front());
    alternate_sources_.pop_front();
    return true;
}

bool configuration_fetch::skip_source() {
    manifest_.reset();
    missing_.clear();
    if (alternate_sources_.empty()) {
        stop();
        return false;
    }
    source_ = std::move(alternate_sources_.front());
    alternate_sources_.pop_front();
    return true;
}

void configuration_fetch::stop() {
    source_.clear();
    alternate_sources_.clear();
    manifest_.reset();
    missing_.clear();
    fetched_texts_.clear();
}

any_configuration_message configuration_fetch::request() const {
    if (!manifest_) {
        return configuration_message::manifest_request{};
    }
    configuration_message::parts_request parts;
    const auto n = std::min(missing_.size(), max_parts_per_request);
    parts.parts.assign(missing_.begin(), missing_.begin() + static_cast<std::ptrdiff_t>(n));
    return parts;
}

result<std::optional<configuration_candidate>>
configuration_fetch::handle_reply(any_configuration_message reply) {
    if (auto* manifest = std::get_if<configuration_message::manifest>(&reply);
        manifest != nullptr && !manifest_) {
        return handle_manifest(std::move(*manifest));
    }
    if (auto* parts = std::get_if<configuration_message::parts>(&reply); parts != nullptr && manifest_) {
        return handle_parts(std::move(*parts));
    }
    return violation("the reply has another type than was requested");
}

result<std::optional<configuration_candidate>>
configuration_fetch::handle_manifest(configuration_message::manifest manifest) {
    if (manifest.generation < target_ || manifest.parts.empty() || manifest.parts.size() > max_parts) {
        return violation("the manifest has a lower generation than expected, no parts or too many");
    }
    target_ = manifest.generation;
    missing_.clear();
    std::set<std::string> seen;
    for (const auto& it : manifest.parts) {
        if (!seen.insert(it).second || fetched_texts_.contains(it)) {
            continue;
        }
        if (in_force_.part(it).empty()) {
            missing_.push_back(it);
        } else {
            ++reused_;
        }
    }
    manifest_ = std::move(manifest);
    return assemble();
}

result<std::optional<configuration_candidate>>
configuration_fetch::handle_parts(configuration_message::parts parts) {
    if (parts.texts.empty() || parts.texts.size() > missing_.size()) {
        return violation("the peer returned none of the requested parts, or more than requested");
    }
    for (std::size_t n = 0; n < parts.texts.size(); ++n) {
        if (parts.texts[n].size() > max_body_part_bytes || content_hash(parts.texts[n]) != missing_[n]) {
            return violation("a part is too large or does not match its hash");
        }
        fetched_texts_[missing_[n]] = std::move(parts.texts[n]);
        ++fetched_;
    }
    missing_.erase(missing_.begin(), missing_.begin() + static_cast<std::ptrdiff_t>(parts.texts.size()));
    return assemble();
}

std::optional<configuration_candidate> configuration_fetch::assemble() const {
    if (!missing_.empty()) {
        return std::nullopt;
    }
    configuration_candidate candidate{manifest_->generation, manifest_->token, manifest_->hash, {}, source_};
    for (const auto& it : manifest_->parts) {
        const auto found = fetched_texts_.find(it);
        candidate.body +=
            found == fetched_texts_.end() ? in_force_.part(it) : std::string_view(found->second);
    }
    return candidate;
}

} // namespace skylarkseam
