#include <skylarkseam/control/job_queue.hpp>

namespace skylarkseam {

void job_queue::add(const std::string& job, const std::string& caller, std::uint64_t order, time_point when) {
    remove(job);
    entries_[job] = {caller, order};
    waiting_.schedule(job, when);
}

void job_queue::remove(const std::string& job) {
    const auto found = entries_.find(job);
    if (found == entries_.end()) {
        return;
    }
    waiting_.cancel(job);
    if (const auto line = ready_.find(found->second.caller); line != ready_.end()) {
        line->second.erase({found->second.order, job});
        if (line->second.empty()) {
            ready_.erase(line);
        }
    }
    entries_.erase(found);
}

void job_queue::make_ready(time_point now) {
    for (const auto& job : waiting_.take_due(now)) {
        const entry& it = entries_.at(job);
        ready_[it.caller].emplace(it.order, job);
    }
}

std::optional<std::string> job_queue::take(time_point now) {
    make_ready(now);
    if (ready_.empty()) {
        return std::nullopt;
    }
    auto line = ready_.upper_bound(last_caller_);
    if (line == ready_.end()) {
        line = ready_.begin();
    }
    last_caller_ = line->first;
    auto job = line->second.begin()->second;
    remove(job);
    return job;
}

} // namespace skylarkseam
