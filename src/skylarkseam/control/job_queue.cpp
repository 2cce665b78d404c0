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
    if (const auto caller_jobs = ready_.find(found->second.caller); caller_jobs != ready_.end()) {
        caller_jobs->second.erase({found->second.order, job});
        if (caller_jobs->second.empty()) {
            ready_.erase(caller_jobs);
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

std::optional<std::string> job_queue::pop_ready(time_point now) {
    make_ready(now);
    if (ready_.empty()) {
        return std::nullopt;
    }
    auto caller_jobs = ready_.upper_bound(last_caller_);
    if (caller_jobs == ready_.end()) {
        caller_jobs = ready_.begin();
    }
    last_caller_ = caller_jobs->first;
    auto job = caller_jobs->second.begin()->second;
    remove(job);
    return job;
}

} // namespace skylarkseam
