// The way of a subquery through its owner: admission, queue, dispatch within slots and authority, reply, and
// the release of its slot.
#pragma once

#include <skylarkseam/core/owned_searcher.hpp>
#include <skylarkseam/core/subquery_table.hpp>
#include <skylarkseam/core/timer_heap.hpp>

#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace skylarkseam {

/// Invariants: each admitted subquery gets exactly one reply unless its stream is closed; one that is replied
/// to as not run was never dispatched; an effect is dispatched at most once.
class dispatcher {
public:
    using output = std::vector<owner_output>;
    using find_searcher = std::function<owned_searcher*(const std::string&)>;

    void set_authority(authority value) { authority_ = value; }
    /// Subqueries of one caller that may wait for one searcher.
    void set_queue_length(std::uint32_t length) { queue_length_ = length; }
    [[nodiscard]] const authority& held() const { return authority_; }

    void on_batch(stream_id stream, subquery_batch batch, const find_searcher& find, time_point now,
                  output& out);
    void on_cancel(stream_id stream, const subquery_cancel& cancel, time_point now, output& out);
    void on_closed(stream_id stream, time_point now, output& out);
    void on_answer(dispatch_id id, upstream_answer& answer, time_point now, output& out);
    void on_time(time_point now, output& out);

    /// Dispatches what may be dispatched; refuses the queue if the searcher may get no work.
    void pump(owned_searcher& it, time_point now, output& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }
    [[nodiscard]] const owner_counters& counters() const { return counters_; }

private:
    /// What is due at a time.
    struct due {
        enum class kind { start_or_refuse, deadline, release_slot };
        kind what = kind::deadline;
        owned_searcher* searcher = nullptr;
        subquery_table::id id = 0;
    };
    struct stream_state {
        std::shared_ptr<batch_header> header;
        std::vector<subquery_table::id> subqueries;
    };

    void admit(const std::shared_ptr<batch_header>& header, const subquery& it, owned_searcher* searcher,
               time_point now, output& out);
    [[nodiscard]] std::string_view refusal(const owned_searcher* searcher, const batch_header& header,
                                           time_point now) const;
    [[nodiscard]] static bool can_meet_deadline(const owned_searcher& it, const batch_header& header,
                                                time_point now);
    bool first_of_effect(const batch_header& header, std::uint32_t attempt);
    void watch_queued(subquery_table::id id);
    void withdraw(std::uint32_t n, time_point now, output& out);
    void refuse_late(std::uint32_t n, time_point now, output& out);
    void dispatch(owned_searcher& it, const fair_queue::taken& next, time_point now, output& out);
    void refuse_queue(owned_searcher& it, std::string_view reason, time_point now, output& out);
    void check_echo(const open_subquery& entry, upstream_answer& answer);
    void reply_answer(std::uint32_t n, upstream_answer& answer, time_point now, output& out);
    void on_due(const due& it, time_point now, output& out);
    void free_slot(std::uint32_t n, time_point now, output& out);
    void reply(std::uint32_t n, subquery_reply value, time_point now, output& out);
    void reply_end(std::uint32_t n, subquery_outcome outcome, std::string_view detail, time_point now,
                   output& out);
    void send(batch_header& header, subquery_reply value, output& out);

    authority authority_;
    std::uint32_t queue_length_ = 256;
    subquery_table table_;
    std::unordered_map<stream_id, stream_state> streams_;
    timer_heap<due> timers_;
    std::uint64_t last_sequence_ = 0;
    std::unordered_set<std::string>
        recent_effects_; ///< request ids; a second batch with one of them is refused
    std::deque<std::string> effects_by_age_;
    owner_counters counters_;
};

} // namespace skylarkseam
