#include "standin/load_plan.hpp"

#include <stdexcept>

namespace skylarkseam::standin {
namespace {

std::vector<double> weights_of(const std::vector<load_kind>& mix) {
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const auto& it : mix) {
        weights.push_back(it.weight);
    }
    return weights;
}

/// Takes the text up to the separator off `rest`.
std::string take(std::string_view& rest, char separator) {
    const auto end = std::min(rest.find(separator), rest.size());
    std::string part(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return part;
}

} // namespace

load_kind parse_load_kind(std::string_view text) {
    load_kind kind;
    if (const auto equals = text.rfind('='); equals != std::string_view::npos) {
        kind.weight = std::stod(std::string(text.substr(equals + 1)));
        text = text.substr(0, equals);
    }
    kind.caller = take(text, ':');
    kind.service = take(text, ':');
    kind.cls = text;
    if (kind.caller.empty() || kind.service.empty() || kind.weight <= 0.0) {
        throw std::invalid_argument("a kind of request must be caller:service[:class][=weight]");
    }
    return kind;
}

load_plan::load_plan(const std::vector<load_kind>& mix, double rate_per_s, std::uint64_t seed)
    : random_(seed)
    , gap_s_(rate_per_s) {
    const auto weights = weights_of(mix);
    kind_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

load_arrival load_plan::next() {
    at_s_ += gap_s_(random_);
    const auto at = std::chrono::duration_cast<duration>(std::chrono::duration<double>(at_s_));
    return {at, kind_(random_), number_++};
}

} // namespace skylarkseam::standin
