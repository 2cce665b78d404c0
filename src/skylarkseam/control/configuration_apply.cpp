#include <skylarkseam/control/configuration_apply.hpp>
#include <skylarkseam/core/content_hash.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr name_table apply_outcome_names{std::array{
    named_value<apply_outcome>{apply_outcome::applied, "applied"},
    named_value<apply_outcome>{apply_outcome::unchanged, "unchanged"},
    named_value<apply_outcome>{apply_outcome::lost_race, "lost_race"},
    named_value<apply_outcome>{apply_outcome::refused, "refused"},
    named_value<apply_outcome>{apply_outcome::unknown, "unknown"},
}};

/// Returns the token of the attempt that wrote `generation`; nothing if the head's history no longer reaches
/// back to that generation.
std::optional<std::string> find_token(const configuration_head& head, generation_id generation) {
    if (head.generation == generation) {
        return head.token;
    }
    for (const auto& it : head.history) {
        if (it.generation == generation) {
            return it.token;
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view name_of(apply_outcome outcome) {
    return apply_outcome_names.name_of(outcome);
}

configuration_apply::configuration_apply(const configuration_codec& codec, std::string body,
                                         apply_options options)
    : codec_(codec)
    , body_(std::move(body))
    , options_(std::move(options)) {}

void configuration_apply::start(time_point now, std::vector<platform_call>& out) {
    deadline_ = now + options_.timeout;
    send(now, out);
}

void configuration_apply::handle(const platform_answer& answer, time_point now,
                                 std::vector<platform_call>& out) {
    if (result_ || !call_open_ || answer.id != last_call_) {
        return;
    }
    call_open_ = false;
    if (!answer.response.detail.empty()) {
        last_error_detail_ = answer.response.detail;
    }
    switch (step_) {
    case step::read_base:
        handle_base(answer.response, now, out);
        break;
    case step::write_piece:
        handle_piece_written(answer.response, now, out);
        break;
    case step::write_head:
        handle_head_written(answer.response, now, out);
        break;
    case step::verify_write:
        handle_verification(answer.response, now, out);
        break;
    }
}

void configuration_apply::handle_time(time_point now, std::vector<platform_call>& out) {
    if (result_) {
        return;
    }
    if (now >= deadline_) {
        write_ambiguous_ = write_ambiguous_ || (call_open_ && step_ == step::write_head);
        finish_after_timeout();
    } else if (retry_at_ && now >= *retry_at_) {
        retry_at_.reset();
        send(now, out);
    }
}

std::optional<time_point> configuration_apply::next_wakeup() const {
    if (result_) {
        return std::nullopt;
    }
    return retry_at_ ? std::min(*retry_at_, deadline_) : deadline_;
}

void configuration_apply::send(time_point /*now*/, std::vector<platform_call>& out) {
    call_open_ = true;
    out.push_back({++last_call_, request()});
}

platform_request configuration_apply::request() const {
    if (step_ == step::write_head) {
        return write_request();
    }
    if (step_ == step::write_piece) {
        platform_request request;
        request.method = platform_method::create;
        request.kind = configuration_piece_kind;
        request.name = new_head_.pieces[next_piece_];
        request.value_json = codec_.encode_piece(pieces_[next_piece_]);
        return request;
    }
    return read_head_request();
}

platform_request configuration_apply::write_request() const {
    auto request = read_head_request();
    request.method = base_version_.empty() ? platform_method::create : platform_method::update;
    request.version = base_version_;
    request.value_json = codec_.encode_head(new_head_);
    return request;
}

void configuration_apply::handle_base(const platform_response& answer, time_point now,
                                      std::vector<platform_call>& out) {
    const bool found = answer.status == platform_status::ok && answer.objects.size() == 1;
    if (!found && answer.status != platform_status::not_found) {
        schedule_retry(now);
        return;
    }
    if (found) {
        auto head = codec_.decode_head(answer.objects.front().value_json);
        if (head.has_error()) {
            finish(apply_outcome::refused, 0, head.error().detail);
            return;
        }
        base_ = std::move(head.value());
        last_seen_head_ = base_;
        base_version_ = answer.objects.front().version;
    }
    const auto generation = base_ ? base_->generation : 0;
    prepare_head();
    if (options_.expected && *options_.expected != generation) {
        finish(apply_outcome::lost_race, generation,
               "generation " + std::to_string(generation) + " is in force, not " +
                   std::to_string(*options_.expected));
    } else if (base_ && base_->hash == new_head_.hash) {
        finish(apply_outcome::unchanged, generation, "");
    } else {
        enter_step(new_head_.pieces.empty() ? step::write_head : step::write_piece, now, out);
    }
}

void configuration_apply::prepare_head() {
    new_head_.generation = (base_ ? base_->generation : 0) + 1;
    new_head_.token = options_.token;
    new_head_.hash = content_hash(body_);
    if (base_) {
        new_head_.history = base_->history;
        new_head_.history.insert(new_head_.history.begin(), {base_->generation, base_->token});
        new_head_.history.resize(std::min(new_head_.history.size(), max_history_size));
    }
    if (body_.size() <= max_inline_body_bytes) {
        new_head_.body = body_;
        return;
    }
    pieces_ = split_into_pieces(body_);
    for (const auto& it : pieces_) {
        new_head_.pieces.push_back(content_hash(it));
    }
}

void configuration_apply::handle_piece_written(const platform_response& answer, time_point now,
                                               std::vector<platform_call>& out) {
    // A piece is named by the hash of its content, so an existing piece of this name has the same content.
    if (answer.status != platform_status::ok && answer.status != platform_status::conflict) {
        schedule_retry(now);
        return;
    }
    ++next_piece_;
    enter_step(next_piece_ < pieces_.size() ? step::write_piece : step::write_head, now, out);
}

void configuration_apply::handle_head_written(const platform_response& answer, time_point now,
                                              std::vector<platform_call>& out) {
    switch (answer.status) {
    case platform_status::ok:
        finish(apply_outcome::applied, new_head_.generation, "");
        return;
    case platform_status::too_large:
        finish(apply_outcome::refused, new_head_.generation - 1,
               "the platform rejects the value as too large");
        return;
    case platform_status::throttled:
        schedule_retry(now);
        return;
    default:
        break;
    }
    if (answer.status == platform_status::unavailable && answer.not_sent) {
        schedule_retry(now);
        return;
    }
    write_ambiguous_ = write_ambiguous_ || is_ambiguous(answer);
    enter_step(step::verify_write, now, out);
}

void configuration_apply::handle_verification(const platform_response& answer, time_point now,
                                              std::vector<platform_call>& out) {
    if (answer.status == platform_status::ok && answer.objects.size() == 1) {
        auto head = codec_.decode_head(answer.objects.front().value_json);
        if (head.has_value()) {
            last_seen_head_ = head.value();
            decide_by(head.value(), now, out);
            return;
        }
    } else if (answer.status == platform_status::not_found && !base_) {
        step_ = step::write_head;
    }
    schedule_retry(now);
}

void configuration_apply::decide_by(const configuration_head& head, time_point now,
                                    std::vector<platform_call>& /*out*/) {
    const auto token = find_token(head, new_head_.generation);
    if (token == options_.token) {
        finish(apply_outcome::applied, new_head_.generation,
               head.generation == new_head_.generation
                   ? ""
                   : "generation " + std::to_string(head.generation) + " was applied after it");
    } else if (token) {
        finish(apply_outcome::lost_race, head.generation, "another change came first");
    } else if (head.generation > new_head_.generation) {
        finish(write_ambiguous_ ? apply_outcome::unknown : apply_outcome::lost_race, head.generation,
               "too many changes were applied after it");
    } else {
        // The write has not taken effect yet, or the read was stale. Sending the same conditional write again
        // is safe, since it can take effect only once.
        step_ = step::write_head;
        schedule_retry(now);
    }
}

void configuration_apply::enter_step(step next, time_point now, std::vector<platform_call>& out) {
    step_ = next;
    send(now, out);
}

void configuration_apply::schedule_retry(time_point now) {
    retry_at_ = now + options_.retry_pause;
}

void configuration_apply::finish(apply_outcome outcome, generation_id generation, std::string detail) {
    result_ = apply_result{outcome, generation, base_, last_seen_head_, std::move(detail)};
}

void configuration_apply::finish_after_timeout() {
    const auto generation = last_seen_head_ ? last_seen_head_->generation : 0;
    const auto detail =
        "the platform did not answer in time" + (last_error_detail_.empty() ? "" : ": " + last_error_detail_);
    finish(write_ambiguous_ ? apply_outcome::unknown : apply_outcome::refused, generation, detail);
}

} // namespace skylarkseam
