// Applies a configuration whole or not at all: one conditional update of the head, with a unique token. A
// lost answer is settled by reading the token back, never by assuming.
#pragma once

#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

enum class apply_outcome {
    applied,   ///< accepted as `generation`
    unchanged, ///< the same configuration is in force already
    lost_race, ///< another change came first; nothing of this one was applied
    refused,   ///< nothing was applied
    unknown,   ///< whether it was applied cannot be told
};

[[nodiscard]] std::string_view name_of(apply_outcome outcome);

struct apply_result {
    apply_outcome outcome = apply_outcome::refused;
    generation_id generation = 0; ///< of this change where it was applied, else of the head last seen
    std::optional<configuration_head> base; ///< what this change was based on; none before the first
    std::optional<configuration_head>
        last_seen_head; ///< the head last seen: another's where the race was lost
    std::string detail;
};

struct apply_options {
    std::string token;                     ///< unique for each attempt
    std::optional<generation_id> expected; ///< refuse unless this generation is in force
    duration timeout = seconds(15);        ///< for the whole attempt, settling included
    duration retry_pause = milliseconds(250);
};

/// One attempt to apply. Feed it answers and time until result() is there.
class configuration_apply {
public:
    configuration_apply(const configuration_codec& codec, std::string body, apply_options options);

    void start(time_point now, std::vector<platform_call>& out);
    void handle(const platform_answer& answer, time_point now, std::vector<platform_call>& out);
    void handle_time(time_point now, std::vector<platform_call>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] const std::optional<apply_result>& result() const { return result_; }

private:
    enum class step { read_base, write_piece, write_head, settle };

    void send(time_point now, std::vector<platform_call>& out);
    [[nodiscard]] platform_request request() const;
    [[nodiscard]] platform_request write_request() const;
    void take_base(const platform_response& answer, time_point now, std::vector<platform_call>& out);
    void take_piece(const platform_response& answer, time_point now, std::vector<platform_call>& out);
    void take_write(const platform_response& answer, time_point now, std::vector<platform_call>& out);
    void take_settling(const platform_response& answer, time_point now, std::vector<platform_call>& out);
    void settle_by(const configuration_head& head, time_point now, std::vector<platform_call>& out);
    void prepare_head();
    void go_to(step next, time_point now, std::vector<platform_call>& out);
    void try_again(time_point now);
    void end(apply_outcome outcome, generation_id generation, std::string detail);
    void end_out_of_time();

    const configuration_codec& codec_;
    std::string body_;
    apply_options options_;
    step step_ = step::read_base;
    std::optional<configuration_head> base_;
    std::string base_version_; ///< of the head object; empty before the first
    configuration_head head_;  ///< what is written
    std::vector<std::string> pieces_;
    std::size_t piece_ = 0;  ///< the one that is written next
    bool ambiguous_ = false; ///< a write of the head may have taken effect
    std::string trouble_;    ///< the latest fault, for the result
    time_point deadline_{};
    std::optional<time_point> retry_at_;
    platform_call_id last_call_ = 0;
    bool open_ = false; ///< the latest call has not been answered
    std::optional<configuration_head> last_seen_head_;
    std::optional<apply_result> result_;
};

} // namespace skylarkseam
