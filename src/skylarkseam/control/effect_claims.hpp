// At-most-once execution of non-idempotent requests. A request is claimed by a conditional create of an
// object in the platform before it is dispatched. Its outcome is stored in that object, and a repeat on any
// host is answered from the stored outcome.
#pragma once

#include <skylarkseam/control/claim_record.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/control/timer_set.hpp>
#include <skylarkseam/core/ownership.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

using effect_id = std::uint64_t; ///< ID, assigned by the shell, of a request's arrival at this node.

/// End of a dispatched request, as observed by this node.
enum class effect_end {
    answered, ///< The request ran, and the answer is known.
    not_run,  ///< The request certainly did not run.
    unknown,  ///< The request may or may not have run.
};

struct effect_answer {
    std::string body_json;
    bool replayed = false; ///< Whether the body is the stored outcome of an earlier arrival.
};

struct effect_claims_settings {
    /// Longest time from sending the create of a claim to the dispatch; a request is never dispatched later.
    duration dispatch_window = seconds(5);
    /// Longest time that an answer waits for its outcome to be stored. The request's deadline limits it too.
    duration outcome_store_timeout = milliseconds(500);
    /// Time after which a create with a lost answer counts as failed if its object is still absent.
    duration create_settle_time = seconds(30);
    duration initial_backoff = milliseconds(50);
    duration max_backoff = seconds(5);
    std::size_t max_open = 10'000;               ///< Limit of open claims; further requests get `overloaded`.
    std::size_t max_outcome_bytes = 900U << 10U; ///< Size limit of an outcome; a larger one is not stored.
};

namespace effect_event {
struct request_arrived {
    effect_id id = 0;
    query_request request;
    time_point deadline{};
};
struct effect_ended {
    effect_id id = 0;
    effect_end end = effect_end::unknown;
    std::string body_json; ///< Body for the caller if the end is `answered`.
    error failure;         ///< Error for the caller if the end is `not_run`.
};
struct time_passed {};
} // namespace effect_event

using effect_input = std::variant<effect_event::request_arrived, effect_event::effect_ended, platform_answer,
                                  effect_event::time_passed>;

namespace effect_action {
/// Dispatches the request once. The shell reports the end by exactly one effect_ended.
struct run_effect {
    effect_id id = 0;
    query_request request;
    time_point deadline{};
};
struct answer_effect {
    effect_id id = 0;
    result<effect_answer> answer;
};
} // namespace effect_action

using effect_output = std::variant<platform_call, effect_action::run_effect, effect_action::answer_effect>;

struct effect_counters {
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t replayed = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
};

class effect_claims {
public:
    using time_event = effect_event::time_passed;

    effect_claims(std::string self, std::uint64_t incarnation, effect_claims_settings settings = {});

    /// Sets the nodes that are known to be up. A repeat of a request that is claimed by any other node is
    /// answered with outcome_unknown. An empty list means that the members are not known yet.
    void set_members(std::vector<member> members) { members_ = std::move(members); }

    /// Handles one event and appends the resulting actions in order.
    void handle(effect_input event, time_point now, std::vector<effect_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }

    /// Number of requests that are not answered yet.
    [[nodiscard]] std::size_t open() const;
    /// Number of claims whose final state is not known to be stored, including the unanswered ones.
    [[nodiscard]] std::size_t unsettled() const { return entries_.size(); }
    [[nodiscard]] const effect_counters& counters() const { return counters_; }

private:
    enum class stage {
        creating,      ///< The create call is pending.
        reading,       ///< The object is being read to find out which node holds the claim.
        running,       ///< The request is dispatched.
        storing_state, ///< The final state is being stored, or the claim is being removed.
    };
    enum class final_state { absent, done, unknown };

    /// Invariant: at most one platform call or one backoff is pending, and neither while the request runs.
    struct entry {
        effect_id id = 0;
        query_request request;
        claim_address address;
        claim_record claim;
        std::string version; ///< Version of the stored claim; empty if it must be read first.
        stage current_stage = stage::creating;
        final_state target_state = final_state::absent;
        bool conflicted = false;      ///< Whether the create conflicted with another claim.
        bool create_in_doubt = false; ///< Whether the create's answer was lost, so it may still take effect.
        bool answered = false;
        time_point create_sent{};
        time_point deadline{};
        time_point answer_deadline{};
        platform_call_id call = 0; ///< Pending platform call; 0 if none.
        std::optional<time_point> retry_at;
        duration backoff{};
        std::optional<result<effect_answer>> reply; ///< Answer after the final write or at answer_deadline.
    };

    using entries = std::map<effect_id, entry>;
    using outputs = std::vector<effect_output>;

    void on(effect_event::request_arrived& event, time_point now, outputs& out);
    void on(effect_event::effect_ended& event, time_point now, outputs& out);
    void on(platform_answer& event, time_point now, outputs& out);
    void on(effect_event::time_passed& event, time_point now, outputs& out);

    void on_created(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_read(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_final_write(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_final_read(entry& it, const platform_response& response, time_point now, outputs& out);

    void call(entry& it, platform_method method, outputs& out);
    void read(entry& it, outputs& out);
    void write_final_state(entry& it, outputs& out);
    void back_off(entry& it, time_point now);
    void dispatch(entry& it, time_point now, outputs& out);
    void end_undispatched(entry& it, error failure, time_point now, outputs& out);
    void handle_stored_object(entry& it, const platform_object& object, time_point now, outputs& out);
    void answer(entry& it, result<effect_answer> reply, outputs& out);
    void answer_from(entry& it, const claim_record& claim, outputs& out);
    void answer_local_repeat(const entry& it, effect_id id, const std::string& digest, outputs& out);
    void store_final_state(entry& it, final_state target_state, time_point now, outputs& out);
    void finish(entry& it, outputs& out);
    void schedule(const entry& it);
    [[nodiscard]] bool is_holder_up(const claim_record& claim) const;
    void handle_timer(entry& it, time_point now, outputs& out);

    std::string self_;
    std::uint64_t incarnation_;
    effect_claims_settings settings_;
    std::vector<member> members_;
    entries entries_;
    std::map<std::string, effect_id> entry_by_claim_name_; ///< Entry that answers repeats, by claim name.
    std::map<platform_call_id, effect_id> calls_;
    timer_set<effect_id> timers_;
    platform_call_id last_call_ = 0;
    std::uint64_t last_token_ = 0;
    effect_counters counters_;
};

} // namespace skylarkseam
