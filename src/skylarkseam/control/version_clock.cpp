#include <skylarkseam/control/version_clock.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace skylarkseam {
namespace {

/// A mark is removed if the ages of its neighbours differ by at most the older age divided by this number.
constexpr int mark_spacing_divisor = 16;
/// Age limit of the marks; only one mark of this age or more is kept.
constexpr duration max_mark_age = std::chrono::hours(24 * 14);

} // namespace

std::uint64_t version_clock::newest_version_aged(duration age) const {
    const auto it =
        std::find_if(marks_.begin(), marks_.end(), [&](const version_mark& mark) { return mark.age >= age; });
    return it == marks_.end() ? 0 : it->version;
}

void version_clock::advance(std::uint64_t own_version, duration elapsed) {
    for (auto& it : marks_) {
        it.age += elapsed;
    }
    marks_.insert(marks_.begin(), {own_version, elapsed});
    prune_marks();
}

void version_clock::prune_marks() {
    while (marks_.size() > 1 && marks_[marks_.size() - 2].age >= max_mark_age) {
        marks_.pop_back();
    }
    std::vector<version_mark> kept{marks_.back()};
    for (auto it = marks_.rbegin() + 1; it != marks_.rend(); ++it) {
        const auto next = it + 1;
        const bool removable =
            next != marks_.rend() && kept.back().age - next->age <= kept.back().age / mark_spacing_divisor;
        if (!removable) {
            kept.push_back(*it);
        }
    }
    std::reverse(kept.begin(), kept.end());
    marks_ = std::move(kept);
}

std::string version_clock::encode() const {
    auto marks = nlohmann::json::array();
    for (const auto& it : marks_) {
        marks.push_back({{"version", it.version}, {"age_ms", to_ms(it.age)}});
    }
    return nlohmann::json{{"marks", std::move(marks)}}.dump();
}

std::optional<version_clock> version_clock::decode(const std::string& json) {
    const auto value = nlohmann::json::parse(json, nullptr, false);
    try {
        version_clock clock;
        for (const auto& it : value.at("marks")) {
            clock.marks_.push_back(
                {it.at("version").get<std::uint64_t>(), milliseconds(it.at("age_ms").get<std::int64_t>())});
        }
        return clock;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::uint64_t version_number(const std::string& text) {
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : 0;
}

} // namespace skylarkseam
