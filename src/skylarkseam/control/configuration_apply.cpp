#include <skylarkseam/control/configuration_apply.hpp>
#include <skylarkseam/control/content_hash.hpp>
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

/// The attempt that made `generation`, as far as the head remembers it.
std::optional<std::string> token_of(const configuration_head& head, generation_id generation) {
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
    if (result_ || !open_ || answer.id != last_call_) {
        return;
    }
    open_ = false;
    if (!answer.response.detail.empty()) {
        trouble_ = answer.response.detail;
    }
    switch (step_) {
    case step::read_base:
        take_base(answer.response, now, out);
        break;
    case step::write_piece:
        take_piece(answer.response, now, out);
        break;
    case step::write_head:
        take_write(answer.response, now, out);
        break;
    case step::settle:
        take_settling(answer.response, now, out);
        break;
    }
}

void configuration_apply::handle_time(time_point now, std::vector<platform_call>& out) {
    if (result_) {
        return;
    }
    if (now >= deadline_) {
        ambiguous_ = ambiguous_ || (open_ && step_ == step::write_head);
        end_out_of_time();
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
    open_ = true;
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
        request.name = head_.pieces[piece_];
        request.value_json = codec_.encode_piece(pieces_[piece_]);
        return request;
    }
    return read_head_request();
}

platform_request configuration_apply::write_request() const {
    auto request = read_head_request();
    request.method = base_version_.empty() ? platform_method::create : platform_method::update;
    request.version = base_version_;
    request.value_json = codec_.encode_head(head_);
    return request;
}

void configuration_apply::take_base(const platform_response& answer, time_point now,
                                    std::vector<platform_call>& out) {
    const bool found = answer.status == platform_status::ok && answer.objects.size() == 1;
    if (!found && answer.status != platform_status::not_found) {
        try_again(now);
        return;
    }
    if (found) {
        auto head = codec_.decode_head(answer.objects.front().value_json);
        if (head.has_error()) {
            end(apply_outcome::refused, 0, head.error().detail);
            return;
        }
        base_ = std::move(head.value());
        last_seen_head_ = base_;
        base_version_ = answer.objects.front().version;
    }
    const auto generation = base_ ? base_->generation : 0;
    prepare_head();
    if (options_.expected && *options_.expected != generation) {
        end(apply_outcome::lost_race, generation,
            "generation " + std::to_string(generation) + " is in force, not " +
                std::to_string(*options_.expected));
    } else if (base_ && base_->hash == head_.hash) {
        end(apply_outcome::unchanged, generation, "");
    } else {
        go_to(head_.pieces.empty() ? step::write_head : step::write_piece, now, out);
    }
}

void configuration_apply::prepare_head() {
    head_.generation = (base_ ? base_->generation : 0) + 1;
    head_.token = options_.token;
    head_.hash = content_hash(body_);
    if (base_) {
        head_.history = base_->history;
        head_.history.insert(head_.history.begin(), {base_->generation, base_->token});
        head_.history.resize(std::min(head_.history.size(), longest_history));
    }
    if (body_.size() <= max_inline_body_bytes) {
        head_.body = body_;
        return;
    }
    pieces_ = split_into_pieces(body_);
    for (const auto& it : pieces_) {
        head_.pieces.push_back(content_hash(it));
    }
}

void configuration_apply::take_piece(const platform_response& answer, time_point now,
                                     std::vector<platform_call>& out) {
    // A piece is named by its content: one that is there already is the same.
    if (answer.status != platform_status::ok && answer.status != platform_status::conflict) {
        try_again(now);
        return;
    }
    ++piece_;
    go_to(piece_ < pieces_.size() ? step::write_piece : step::write_head, now, out);
}

void configuration_apply::take_write(const platform_response& answer, time_point now,
                                     std::vector<platform_call>& out) {
    switch (answer.status) {
    case platform_status::ok:
        end(apply_outcome::applied, head_.generation, "");
        return;
    case platform_status::too_large:
        end(apply_outcome::refused, head_.generation - 1, "the platform refuses the value as too large");
        return;
    case platform_status::throttled:
        try_again(now);
        return;
    default:
        break;
    }
    if (answer.status == platform_status::unavailable && answer.not_sent) {
        try_again(now);
        return;
    }
    ambiguous_ = ambiguous_ || is_ambiguous(answer);
    go_to(step::settle, now, out);
}

void configuration_apply::take_settling(const platform_response& answer, time_point now,
                                        std::vector<platform_call>& out) {
    if (answer.status == platform_status::ok && answer.objects.size() == 1) {
        auto head = codec_.decode_head(answer.objects.front().value_json);
        if (head.has_value()) {
            last_seen_head_ = head.value();
            settle_by(head.value(), now, out);
            return;
        }
    } else if (answer.status == platform_status::not_found && !base_) {
        step_ = step::write_head;
    }
    try_again(now);
}

void configuration_apply::settle_by(const configuration_head& head, time_point now,
                                    std::vector<platform_call>& /*out*/) {
    const auto token = token_of(head, head_.generation);
    if (token == options_.token) {
        end(apply_outcome::applied, head_.generation,
            head.generation == head_.generation
                ? ""
                : "generation " + std::to_string(head.generation) + " has followed since");
    } else if (token) {
        end(apply_outcome::lost_race, head.generation, "another change came first");
    } else if (head.generation > head_.generation) {
        end(ambiguous_ ? apply_outcome::unknown : apply_outcome::lost_race, head.generation,
            "many changes have followed");
    } else {
        // Not there as yet, or a stale read. The same conditional write can take effect only once.
        step_ = step::write_head;
        try_again(now);
    }
}

void configuration_apply::go_to(step next, time_point now, std::vector<platform_call>& out) {
    step_ = next;
    send(now, out);
}

void configuration_apply::try_again(time_point now) {
    retry_at_ = now + options_.retry_pause;
}

void configuration_apply::end(apply_outcome outcome, generation_id generation, std::string detail) {
    result_ = apply_result{outcome, generation, base_, last_seen_head_, std::move(detail)};
}

void configuration_apply::end_out_of_time() {
    const auto generation = last_seen_head_ ? last_seen_head_->generation : 0;
    const auto detail = "the platform did not answer in time" + (trouble_.empty() ? "" : ": " + trouble_);
    end(ambiguous_ ? apply_outcome::unknown : apply_outcome::refused, generation, detail);
}

} // namespace skylarkseam
