// Life cycle of a subquery at its owner: admission, queueing, dispatch within the slots and authority, reply,
// and release of the slot.
#pragma once

#include <skylarkseam/core/owned_searcher.hpp>
#include <skylarkseam/core/subquery_table.hpp>
#include <skylarkseam/core/timer_heap.hpp>

#include <deque>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace skylarkseam {

/// Admits, queues, dispatches and answers the subqueries for all searchers of this node.
/// Invariants: each admitted subquery gets exactly one reply unless its stream is closed; a subquery with the
/// reply "not run" did not reach the searcher or was rejected by it; an effect is dispatched at most once.
class dispatcher {
public:
    using output = std::vector<owner_output>;
    using find_searcher = std::function<owned_searcher*(const std::string&)>;

    void set_authority(authority value) { authority_ = value; }
    /// Sets the number of subqueries of one caller that may be queued for one searcher.
    void set_queue_length(std::uint32_t length) { queue_length_ = length; }
    [[nodiscard]] const authority& granted_authority() const { return authority_; }

    void on_batch(stream_id stream, subquery_batch batch, const find_searcher& find, time_point now,
                  output& out);
    void on_cancel(stream_id stream, const subquery_cancel& cancel, time_point now, output& out);
    void on_closed(stream_id stream, time_point now, output& out);
    void on_answer(dispatch_id id, upstream_answer& answer, time_point now, output& out);
    void on_time(time_point now, output& out);

    /// Dispatches queued subqueries while the searcher has free slots. Refuses its whole queue if the
    /// searcher may not be sent any work.
    void dispatch_queued(owned_searcher& it, time_point now, output& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }
    [[nodiscard]] const owner_counters& counters() const { return counters_; }

private:
    /// Entry of the timer heap: the action to take for one subquery when the timer expires.
    struct timer {
        enum class kind { queue_timeout, deadline, release_slot };
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
    [[nodiscard]] std::string_view refusal_reason(const owned_searcher* searcher, const batch_header& header,
                                                  time_point now) const;
    [[nodiscard]] static bool can_meet_deadline(const owned_searcher& it, const batch_header& header,
                                                time_point now);
    bool remember_effect(const batch_header& header, std::uint32_t attempt);
    void schedule_queue_timeout(subquery_table::id id);
    void cancel_subquery(std::uint32_t n, time_point now, output& out);
    void refuse_past_deadline(std::uint32_t n, time_point now, output& out);
    void dispatch(owned_searcher& it, const fair_queue::dequeued& next, time_point now, output& out);
    void refuse_queue(owned_searcher& it, std::string_view reason, time_point now, output& out);
    void check_request_match(const open_subquery& entry, upstream_answer& answer);
    void reply_answer(std::uint32_t n, upstream_answer& answer, time_point now, output& out);
    void on_timer(const timer& it, time_point now, output& out);
    void free_slot(std::uint32_t n, time_point now, output& out);
    void reply(std::uint32_t n, subquery_reply value, time_point now, output& out);
    void reply_without_result(std::uint32_t n, subquery_outcome outcome, std::string_view detail,
                              time_point now, output& out);
    void send(batch_header& header, subquery_reply value, output& out);

    authority authority_;
    std::uint32_t queue_length_ = 256;
    subquery_table table_;
    std::unordered_map<stream_id, stream_state> streams_;
    timer_heap<timer> timers_;
    std::uint64_t last_sequence_ = 0;
    /// Request ids of recent effects; a second batch with one of them is refused.
    std::unordered_set<std::string> recent_effect_ids_;
    std::deque<std::string> effect_ids_by_age_;
    owner_counters counters_;
};

} // namespace skylarkseam
