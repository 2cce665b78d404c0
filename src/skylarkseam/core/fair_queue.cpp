#include <skylarkseam/core/fair_queue.hpp>

#include <algorithm>
#include <cmath>

namespace skylarkseam {
namespace {

constexpr double default_cost_us = 1000.0; ///< Cost estimate before the first measurement.
constexpr double cost_ewma_gain = 1.0 / 16.0;
/// Largest negative deficit of a caller, in quanta.
constexpr double max_debt_quanta = 16.0;
/// Number of callers above which idle callers without a share in the sharing rule are removed.
constexpr std::size_t caller_cleanup_threshold = 256;
constexpr double rounding_tolerance = 1e-9;

/// Minimum fraction of the caller's slot time for a class with queued items, indexed by request_class.
constexpr std::array class_minimum_share{0.0, 0.2, 0.05};

std::size_t index_of(request_class cls) {
    return static_cast<std::size_t>(cls);
}

void update_ewma(double& mean, double sample) {
    mean = mean == 0.0 ? sample : mean + cost_ewma_gain * (sample - mean);
}

} // namespace

fair_queue::fair_queue() = default;
fair_queue::~fair_queue() = default;

std::size_t fair_queue::caller_state::next_class() const {
    for (std::size_t n = class_count; n-- > 1;) {
        const double cost = mean_cost_us > 0.0 ? mean_cost_us : default_cost_us;
        if (!by_class.at(n).empty() && class_credit_us.at(n) >= cost) {
            return n;
        }
    }
    for (std::size_t n = 0; n < class_count; ++n) {
        if (!by_class.at(n).empty()) {
            return n;
        }
    }
    return class_count;
}

void fair_queue::set_rule(const sharing_rule* rule) {
    for (auto& [name, it] : callers_) {
        it.has_rule = false;
        it.weight = 1.0;
        it.floor = 0.0;
    }
    if (rule == nullptr) {
        return;
    }
    for (const auto& share : rule->callers) {
        auto& it = find_or_add(share.caller);
        it.has_rule = true;
        it.weight = std::max(1U, share.weight);
        it.floor = share.floor;
    }
}

void fair_queue::push(std::string_view caller, request_class cls, item it) {
    auto& state = find_or_add(caller);
    state.by_class.at(index_of(cls)).push_back(it);
    ++queued_;
    if (++state.queued == 1) {
        activate(state);
    }
}

bool fair_queue::erase(std::string_view caller, request_class cls, item it) {
    const auto found = callers_.find(caller);
    if (found == callers_.end()) {
        return false;
    }
    auto& queue = found->second.by_class.at(index_of(cls));
    const auto at = std::find(queue.begin(), queue.end(), it);
    if (at == queue.end()) {
        return false;
    }
    queue.erase(at);
    --queued_;
    if (--found->second.queued == 0) {
        deactivate(found->second);
    }
    return true;
}

std::optional<fair_queue::dequeued> fair_queue::pop(std::uint32_t free, std::uint32_t slots) {
    if (queued_ == 0 || free == 0) {
        return std::nullopt;
    }
    auto* caller = find_eligible_caller(free, slots);
    if (caller == nullptr && start_next_round(free, slots)) {
        caller = find_eligible_caller(free, slots);
    }
    if (caller == nullptr) {
        return std::nullopt;
    }
    const double cost = cost_us(*caller);
    const auto cls = caller->next_class();
    auto& queue = caller->by_class.at(cls);
    const auto it = queue.front();
    queue.pop_front();
    for (std::size_t n = 1; n < caller_state::class_count; ++n) {
        auto& credit = caller->class_credit_us.at(n);
        credit = caller->by_class.at(n).empty() ? 0.0 : credit + cost * class_minimum_share.at(n);
    }
    caller->class_credit_us.at(cls) = std::max(0.0, caller->class_credit_us.at(cls) - cost);
    caller->deficit_us -= cost;
    ++caller->in_flight;
    --queued_;
    if (--caller->queued == 0) {
        deactivate(*caller);
    } else if (caller->deficit_us < cost) {
        const auto at = std::find(active_callers_.begin(), active_callers_.end(), caller);
        std::rotate(at, at + 1, active_callers_.end());
    }
    return dequeued{caller, it, duration(static_cast<std::int64_t>(cost))};
}

void fair_queue::on_finished(caller_state* caller, duration charged, duration cost) {
    --caller->in_flight;
    caller->deficit_us += static_cast<double>((charged - cost).count());
    if (cost > duration::zero()) {
        const auto us = static_cast<double>(cost.count());
        update_ewma(caller->mean_cost_us, us);
        update_ewma(mean_cost_us_, us);
    }
    caller->deficit_us = std::max(caller->deficit_us, -max_debt_quanta * quantum_us(*caller));
    if (caller->queued == 0) {
        // The debt of a caller with an empty queue is limited to one quantum.
        caller->deficit_us = std::clamp(caller->deficit_us, -quantum_us(*caller), 0.0);
        remove_idle_callers();
    }
}

std::vector<fair_queue::item> fair_queue::drain() {
    std::vector<item> all;
    all.reserve(queued_);
    for (auto* caller : active_callers_) {
        for (auto& queue : caller->by_class) {
            all.insert(all.end(), queue.begin(), queue.end());
            queue.clear();
        }
        caller->queued = 0;
        caller->deficit_us = std::min(caller->deficit_us, 0.0);
    }
    active_callers_.clear();
    queued_ = 0;
    return all;
}

std::uint32_t fair_queue::queued_of(std::string_view caller) const {
    const auto found = callers_.find(caller);
    return found == callers_.end() ? 0 : found->second.queued;
}

duration fair_queue::expected_wait(std::string_view caller, request_class cls, std::uint32_t slots) const {
    const auto found = callers_.find(caller);
    double own_weight = 1.0;
    double ahead_us = 0.0;
    if (found != callers_.end()) {
        own_weight = found->second.weight;
        for (std::size_t n = 0; n <= index_of(cls); ++n) {
            ahead_us += static_cast<double>(found->second.by_class.at(n).size()) * cost_us(found->second);
        }
    }
    double weights = own_weight;
    for (const auto* it : active_callers_) {
        weights += it->name == caller ? 0.0 : it->weight;
    }
    const double rate = static_cast<double>(std::max(1U, slots)) * own_weight / weights;
    return duration(static_cast<std::int64_t>(ahead_us / rate));
}

fair_queue::caller_state& fair_queue::find_or_add(std::string_view caller) {
    const auto found = callers_.find(caller);
    if (found != callers_.end()) {
        return found->second;
    }
    auto& it = callers_[std::string(caller)];
    it.name = caller;
    return it;
}

/// Adds a caller to the active list. A caller that has not received the current round's quantum gets it now
/// and moves to the front; any other caller moves to the back.
void fair_queue::activate(caller_state& it) {
    const auto missed_rounds = static_cast<double>(round_ - it.last_granted_round);
    if (missed_rounds > 0.0) {
        const double replenished_us = it.deficit_us + (missed_rounds - 1.0) * quantum_us(it);
        it.deficit_us = std::min(0.0, replenished_us) + quantum_us(it);
        it.last_granted_round = round_;
        active_callers_.insert(active_callers_.begin(), &it);
        return;
    }
    active_callers_.push_back(&it);
}

void fair_queue::deactivate(caller_state& it) {
    active_callers_.erase(std::find(active_callers_.begin(), active_callers_.end(), &it));
    it.deficit_us = std::min(it.deficit_us, 0.0);
}

fair_queue::caller_state* fair_queue::find_eligible_caller(std::uint32_t free, std::uint32_t slots) const {
    caller_state* best = nullptr;
    for (auto* it : active_callers_) {
        if (it->deficit_us + rounding_tolerance < cost_us(*it) || !may_use_slot(*it, free, slots)) {
            continue;
        }
        if (best == nullptr || it->next_class() < best->next_class()) {
            best = it;
        }
    }
    return best;
}

/// Advances by the smallest number of rounds that gives one caller enough credit for its next item. Returns
/// false if no caller with queued items may use a slot.
bool fair_queue::start_next_round(std::uint32_t free, std::uint32_t slots) {
    double rounds = 0.0;
    for (const auto* it : active_callers_) {
        if (!may_use_slot(*it, free, slots)) {
            continue;
        }
        const double needed =
            std::ceil((cost_us(*it) - it->deficit_us) / quantum_us(*it) - rounding_tolerance);
        rounds = rounds == 0.0 ? std::max(1.0, needed) : std::min(rounds, std::max(1.0, needed));
    }
    if (rounds == 0.0) {
        return false;
    }
    round_ += static_cast<std::uint64_t>(rounds);
    for (auto* it : active_callers_) {
        it->last_granted_round = round_;
        if (may_use_slot(*it, free, slots)) {
            it->deficit_us += rounds * quantum_us(*it);
        }
    }
    return true;
}

bool fair_queue::may_use_slot(const caller_state& it, std::uint32_t free, std::uint32_t slots) const {
    const auto all = static_cast<double>(slots);
    if (static_cast<double>(it.in_flight) + rounding_tolerance < it.floor * all) {
        return true;
    }
    double reserved = 0.0;
    for (const auto& [name, other] : callers_) {
        if (&other != &it && other.floor > 0.0) {
            reserved += std::max(0.0, other.floor * all - static_cast<double>(other.in_flight));
        }
    }
    reserved = std::min(std::floor(reserved + rounding_tolerance), all - 1.0);
    return static_cast<double>(free) > reserved;
}

double fair_queue::quantum_us(const caller_state& it) const {
    return it.weight * (mean_cost_us_ > 0.0 ? mean_cost_us_ : default_cost_us);
}

double fair_queue::cost_us(const caller_state& it) const {
    if (it.mean_cost_us > 0.0) {
        return it.mean_cost_us;
    }
    return mean_cost_us_ > 0.0 ? mean_cost_us_ : default_cost_us;
}

void fair_queue::remove_idle_callers() {
    if (callers_.size() <= caller_cleanup_threshold) {
        return;
    }
    std::erase_if(callers_, [](const auto& entry) {
        const auto& it = entry.second;
        return !it.has_rule && it.queued == 0 && it.in_flight == 0;
    });
}

} // namespace skylarkseam
