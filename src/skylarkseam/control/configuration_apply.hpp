// Applies a configuration atomically by one conditional update of the head, which carries a unique token. If
// the answer to that update is lost, the head is read back and its token shows whether the update took
// effect.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

enum class apply_outcome {
    applied,   ///< The configuration is in force as `generation`.
    unchanged, ///< The same configuration was already in force.
    lost_race, ///< Another change was written first; nothing of this one was applied.
    refused,   ///< An error occurred, and nothing was applied.
    unknown,   ///< The change may or may not have been applied.
};

[[nodiscard]] std::string_view name_of(apply_outcome outcome);

struct apply_result {
    apply_outcome outcome = apply_outcome::refused;
    /// Generation of this change if it was applied, otherwise that of the last head read.
    generation_id generation = 0;
    /// Head that this change replaces; absent if no configuration had been applied before.
    std::optional<configuration_head> base;
    /// Last head read; after `lost_race` it is the head of the other change.
    std::optional<configuration_head> last_seen_head;
    std::string detail;
};

struct apply_options {
    std::string token;                     ///< Unique token of this attempt.
    std::optional<generation_id> expected; ///< Generation that must be in force; if absent, any may be.
    duration timeout = seconds(15);        ///< Limit for the whole attempt, including its verification.
    duration retry_pause = milliseconds(250);
};

/// One attempt to apply a configuration. The owner passes answers and time to it until result() has a value.
class configuration_apply {
public:
    configuration_apply(const configuration_codec& codec, std::string body, apply_options options);

    void start(time_point now, std::vector<platform_call>& out);
    void handle(const platform_answer& answer, time_point now, std::vector<platform_call>& out);
    void handle_time(time_point now, std::vector<platform_call>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] const std::optional<apply_result>& result() const { return result_; }

private:
    enum class step { read_base, write_piece, write_head, verify_write };

    void send(time_point now, std::vector<platform_call>& out);
    [[nodiscard]] platform_request request() const;
    [[nodiscard]] platform_request write_request() const;
    void handle_base(const platform_response& answer, time_point now, std::vector<platform_call>& out);
    void handle_piece_written(const platform_response& answer, time_point now,
                              std::vector<platform_call>& out);
    void handle_head_written(const platform_response& answer, time_point now,
                             std::vector<platform_call>& out);
    void handle_verification(const platform_response& answer, time_point now,
                             std::vector<platform_call>& out);
    void decide_by(const configuration_head& head, time_point now, std::vector<platform_call>& out);
    void prepare_head();
    void enter_step(step next, time_point now, std::vector<platform_call>& out);
    void schedule_retry(time_point now);
    void finish(apply_outcome outcome, generation_id generation, std::string detail);
    void finish_after_timeout();

    const configuration_codec& codec_;
    std::string body_;
    apply_options options_;
    step step_ = step::read_base;
    std::optional<configuration_head> base_;
    std::string base_version_;    ///< Version of the head object; empty if there is none.
    configuration_head new_head_; ///< Head that this attempt writes.
    std::vector<std::string> pieces_;
    std::size_t next_piece_ = 0;    ///< Index of the piece to write next.
    bool write_ambiguous_ = false;  ///< A write of the head may have taken effect without an answer.
    std::string last_error_detail_; ///< Detail of the last error, for the result.
    time_point deadline_{};
    std::optional<time_point> retry_at_;
    platform_call_id last_call_ = 0;
    bool call_open_ = false; ///< True while the latest call is unanswered.
    std::optional<configuration_head> last_seen_head_;
    std::optional<apply_result> result_;
};

} // namespace skylarkseam
