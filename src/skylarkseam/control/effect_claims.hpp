// At most once: claims a non-idempotent request by conditional create of an object in the platform before it
// is dispatched, stores the outcome there, and answers repeats on any host from what is stored.
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

using effect_id = std::uint64_t; ///< one arrival of a request at this node, given by the shell

/// How a dispatched request ended, as far as this node can tell.
enum class effect_end {
    answered, ///< it ran, and this is its answer
    not_run,  ///< it is certain that it did not run
    unknown,  ///< anything else
};

struct effect_answer {
    std::string body_json;
    bool replayed = false; ///< from the stored outcome of an earlier arrival
};

struct effect_claims_settings {
    /// A claim whose create was sent longer ago than this is never dispatched.
    duration dispatch_window = seconds(5);
    /// How long an answer waits for its outcome to be stored; never beyond the request's deadline.
    duration store_patience = milliseconds(500);
    /// A create with a lost answer is taken to have failed once it has stayed absent for so long.
    duration create_settle_time = seconds(30);
    duration first_backoff = milliseconds(50);
    duration longest_backoff = seconds(5);
    std::size_t most_open = 10'000;          ///< requests held at a time; refused as overloaded beyond
    std::size_t outcome_bytes = 900U << 10U; ///< an outcome beyond it is not kept
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
    std::string body_json; ///< answered: the body for the caller
    error failure;         ///< not_run: what the caller is told
};
struct time_passed {};
} // namespace effect_event

using effect_input = std::variant<effect_event::request_arrived, effect_event::effect_ended, platform_answer,
                                  effect_event::time_passed>;

namespace effect_action {
/// Dispatches once; answered by exactly one effect_ended.
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

    /// The nodes known to be up; a claim of any other is answered as unknown. Empty: not known yet.
    void set_members(std::vector<member> members) { members_ = std::move(members); }

    /// Takes one event and appends what is to be done, in order.
    void handle(effect_input event, time_point now, std::vector<effect_output>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const { return timers_.next(); }

    /// Requests without an answer.
    [[nodiscard]] std::size_t open() const;
    /// Claims whose final state is not yet known to be stored, those without an answer included.
    [[nodiscard]] std::size_t unsettled() const { return entries_.size(); }
    [[nodiscard]] const effect_counters& counters() const { return counters_; }

private:
    enum class stage {
        creating, ///< the create is under way
        reading,  ///< the object is being read, to learn who holds the claim
        running,  ///< dispatched
        settling, ///< the final state is being stored, or the claim removed
    };
    enum class final_state { absent, done, unknown };

    /// Invariant: at most one platform call or one back-off is pending, and none while running.
    struct entry {
        effect_id id = 0;
        query_request request;
        claim_address address;
        claim_record claim;
        std::string version; ///< of the claim that this entry holds; empty: to be read
        stage now_in = stage::creating;
        final_state wanted = final_state::absent;
        bool conflicted = false;      ///< another claim stood in the way of the create
        bool create_in_doubt = false; ///< its answer was lost, so it may still take effect
        bool answered = false;
        time_point create_sent{};
        time_point deadline{};
        time_point answer_by{};
        platform_call_id call = 0; ///< 0: none
        std::optional<time_point> retry_at;
        duration backoff{};
        std::optional<result<effect_answer>> reply; ///< given once settled, or at answer_by
    };

    using entries = std::map<effect_id, entry>;
    using outputs = std::vector<effect_output>;

    void on(effect_event::request_arrived& event, time_point now, outputs& out);
    void on(effect_event::effect_ended& event, time_point now, outputs& out);
    void on(platform_answer& event, time_point now, outputs& out);
    void on(effect_event::time_passed& event, time_point now, outputs& out);

    void on_created(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_read(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_settled(entry& it, const platform_response& response, time_point now, outputs& out);
    void on_settle_read(entry& it, const platform_response& response, time_point now, outputs& out);

    void call(entry& it, platform_method method, outputs& out);
    void read(entry& it, outputs& out);
    void write_final_state(entry& it, outputs& out);
    void back_off(entry& it, time_point now);
    void dispatch(entry& it, time_point now, outputs& out);
    void give_up(entry& it, error failure, time_point now, outputs& out);
    void judge(entry& it, const platform_object& object, time_point now, outputs& out);
    void answer(entry& it, result<effect_answer> reply, outputs& out);
    void answer_from(entry& it, const claim_record& claim, outputs& out);
    void answer_local_repeat(const entry& it, effect_id id, const std::string& digest, outputs& out);
    void settle(entry& it, final_state wanted, time_point now, outputs& out);
    void finish(entry& it, outputs& out);
    void schedule(const entry& it);
    [[nodiscard]] bool is_up(const claim_record& claim) const;
    void pass_time(entry& it, time_point now, outputs& out);

    std::string self_;
    std::uint64_t incarnation_;
    effect_claims_settings settings_;
    std::vector<member> members_;
    entries entries_;
    std::map<std::string, effect_id> by_name_; ///< the entry that answers for a claim's name
    std::map<platform_call_id, effect_id> calls_;
    timer_set<effect_id> timers_;
    platform_call_id last_call_ = 0;
    std::uint64_t last_token_ = 0;
    effect_counters counters_;
};

} // namespace skylarkseam
