#include <skylarkseam/gateway/suspect_exchange.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr duration first_retry = milliseconds(200);
constexpr duration longest_retry = seconds(2);
constexpr std::uint32_t max_doublings = 4;

duration retry_delay(std::uint32_t failures) {
    return std::min(longest_retry, first_retry * (1 << std::min(failures - 1, max_doublings)));
}

} // namespace

void suspect_exchange::set_neighbours(const std::string& followed, const std::vector<std::string>& followers,
                                      time_point now) {
    std::erase_if(neighbours_, [&](const auto& it) {
        return it.first != followed &&
               std::find(followers.begin(), followers.end(), it.first) == followers.end();
    });
    for (const auto& it : followers) {
        neighbours_.try_emplace(it);
    }
    if (!followed.empty() && !neighbours_.contains(followed)) {
        neighbours_[followed] = {0, true, false, 0, now};
    }
}

void suspect_exchange::note_restart(const std::string& address, time_point now) {
    const auto found = neighbours_.find(address);
    if (found != neighbours_.end()) {
        found->second.told = 0;
        found->second.due = now;
    }
}

void suspect_exchange::note_told(const std::string& address, std::uint64_t upto) {
    const auto found = neighbours_.find(address);
    if (found != neighbours_.end()) {
        found->second.told = std::max(found->second.told, upto);
    }
}

void suspect_exchange::take_calls(std::uint64_t latest, time_point now, std::vector<suspect_call>& out) {
    for (auto& [address, it] : neighbours_) {
        const bool has_news = it.told < latest || it.ask;
        if (!it.open && has_news && now >= it.due) {
            it.open = true;
            out.push_back({address, it.told, latest, it.ask});
        }
    }
}

void suspect_exchange::take_answer(const suspect_call& call, bool answered, time_point now) {
    const auto found = neighbours_.find(call.address);
    if (found == neighbours_.end()) {
        return;
    }
    auto& it = found->second;
    it.open = false;
    if (!answered) {
        it.due = now + retry_delay(++it.failures);
        return;
    }
    it.failures = 0;
    it.due = now;
    it.ask = it.ask && !call.ask;
    // A restart of the neighbour during the call has reset what it was told.
    it.told = it.told < call.after ? it.told : std::max(it.told, call.upto);
}

std::optional<time_point> suspect_exchange::next_wakeup(std::uint64_t latest) const {
    std::optional<time_point> next;
    for (const auto& [address, it] : neighbours_) {
        const bool has_news = it.told < latest || it.ask;
        if (!it.open && has_news && (!next || it.due < *next)) {
            next = it.due;
        }
    }
    return next;
}

} // namespace skylarkseam
