// Tests that a configuration is applied atomically and that the reported outcome is correct. A wrong outcome
// could come from lost or late writes, lost answers, stale reads, throttling, or two operators at the same
// time.
#include "configuration_world.hpp"

#include <skylarkseam/control/configuration_apply.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace skylarkseam;

namespace {

const configuration_codec& codec = testing::plain_codec();

/// Simulation of several operators and a platform on virtual time. Answers arrive after a random delay or are
/// lost.
class apply_simulation {
public:
    explicit apply_simulation(std::uint64_t seed)
        : random_(seed) {}

    testing::fake_platform platform;
    double lost_write_fraction = 0.0;  ///< Fraction of the writes that fail and may arrive later.
    double lost_answer_fraction = 0.0; ///< Fraction of the writes whose answer is lost.
    duration late_write{};             ///< Delay until a lost write may still take effect.

    std::size_t start_apply(const std::string& body, std::optional<generation_id> expected = std::nullopt) {
        apply_options options;
        options.token = "token-" + std::to_string(runs_.size());
        options.expected = expected;
        runs_.push_back(std::make_unique<configuration_apply>(codec, body, options));
        std::vector<platform_call> out;
        runs_.back()->start(now_, out);
        send(runs_.size() - 1, out);
        return runs_.size() - 1;
    }

    /// Runs until every attempt has ended; each must end before its timeout.
    void run() {
        while (!all_ended()) {
            BOOST_REQUIRE((now_ < time_point{} + seconds(120)));
            now_ += milliseconds(1);
            deliver_due_answers();
            for (std::size_t n = 0; n < runs_.size(); ++n) {
                std::vector<platform_call> out;
                if (runs_[n]->next_wakeup() && *runs_[n]->next_wakeup() <= now_) {
                    runs_[n]->handle_time(now_, out);
                }
                send(n, out);
            }
        }
    }

    [[nodiscard]] const apply_result& result(std::size_t n) const { return *runs_[n]->result(); }
    [[nodiscard]] configuration_head head() const {
        return codec.decode_head(platform.value("configuration", "current")).value();
    }
    /// Returns whether the platform ever accepted this attempt's change.
    [[nodiscard]] bool took_effect(std::size_t n) const {
        return applied_tokens_.contains("token-" + std::to_string(n));
    }
    /// Delivers the writes that are still in transit.
    void deliver_late_writes() {
        for (const auto& it : late_writes_) {
            record_effect(platform.answer(it, now_), it);
        }
        late_writes_.clear();
    }

private:
    struct pending {
        time_point at;
        std::size_t run;
        platform_answer answer;
    };

    [[nodiscard]] bool all_ended() const {
        return std::all_of(runs_.begin(), runs_.end(),
                           [](const auto& it) { return it->result().has_value(); });
    }

    bool chance(double probability) { return random_(1'000'000) < probability * 1'000'000; }

    void record_effect(const platform_response& answer, const platform_request& request) {
        if (answer.status == platform_status::ok && request.kind == configuration_kind &&
            request.method != platform_method::get) {
            applied_tokens_.insert(codec.decode_head(request.value_json).value().token);
        }
    }

    void send(std::size_t run, const std::vector<platform_call>& calls) {
        for (const auto& it : calls) {
            const bool writes = it.request.method != platform_method::get;
            platform_response answer;
            if (writes && chance(lost_write_fraction)) {
                late_writes_.push_back(it.request);
                answer.status = platform_status::unavailable;
            } else {
                const auto loses_answers = platform.faults.lose_answers;
                platform.faults.lose_answers = false;
                answer = platform.answer(it.request, now_);
                platform.faults.lose_answers = loses_answers;
                record_effect(answer, it.request);
                if (loses_answers || (writes && chance(lost_answer_fraction))) {
                    answer = {};
                }
            }
            pending_.push_back({now_ + milliseconds(1 + random_(40)), run, {it.id, std::move(answer)}});
        }
    }

    void deliver_due_answers() {
        if (!late_writes_.empty() && chance(0.002)) {
            deliver_late_writes();
        }
        for (std::size_t n = 0; n < pending_.size();) {
            if (pending_[n].at > now_) {
                ++n;
                continue;
            }
            const auto due = std::move(pending_[n]);
            pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(n));
            std::vector<platform_call> out;
            runs_[due.run]->handle(due.answer, now_, out);
            send(due.run, out);
        }
    }

    pcg32 random_;
    time_point now_{};
    std::vector<std::unique_ptr<configuration_apply>> runs_;
    std::vector<pending> pending_;
    std::vector<platform_request> late_writes_; ///< Writes reported as failed that may still arrive.
    std::set<std::string> applied_tokens_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(applying_a_configuration)

BOOST_AUTO_TEST_CASE(generations_increase_by_one_and_a_repeated_apply_changes_nothing) {
    apply_simulation it(1);
    it.start_apply("first");
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::applied));
    BOOST_TEST(it.result(0).generation == 1U);
    it.start_apply("second");
    it.run();
    BOOST_TEST(it.result(1).generation == 2U);
    it.start_apply("second");
    it.run();
    BOOST_TEST((it.result(2).outcome == apply_outcome::unchanged));
    BOOST_TEST(it.head().generation == 2U);
}

BOOST_AUTO_TEST_CASE(a_large_body_is_written_in_pieces_before_the_head_that_lists_them) {
    apply_simulation it(2);
    const std::string body(3 * configuration_piece_bytes - 7, 'x');
    it.lost_answer_fraction = 0.3;
    it.start_apply(body);
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::applied));
    std::string joined;
    for (const auto& name : it.head().pieces) {
        joined += it.platform.value("configuration_part", name);
    }
    BOOST_TEST((joined == body));
}

BOOST_AUTO_TEST_CASE(a_change_with_an_outdated_expected_generation_is_refused) {
    apply_simulation it(3);
    it.start_apply("first");
    it.run();
    it.start_apply("second", 0);
    it.run();
    BOOST_TEST((it.result(1).outcome == apply_outcome::lost_race));
    BOOST_TEST(it.head().body == "first");
}

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_operators_wins_and_the_other_gets_its_head) {
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        apply_simulation it(seed);
        it.lost_answer_fraction = seed % 2 == 0 ? 0.0 : 0.5;
        it.start_apply("one");
        it.start_apply("two");
        it.run();
        const auto& one = it.result(0);
        const auto& two = it.result(1);
        BOOST_TEST((one.outcome == apply_outcome::applied) != (two.outcome == apply_outcome::applied));
        const auto& loser = one.outcome == apply_outcome::applied ? two : one;
        BOOST_TEST((loser.outcome == apply_outcome::lost_race));
        BOOST_REQUIRE(loser.last_seen_head.has_value());
        BOOST_TEST(loser.last_seen_head->token == it.head().token);
    }
}

BOOST_AUTO_TEST_CASE(the_reported_outcome_is_correct_under_combined_faults) {
    int unknown = 0;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        apply_simulation it(seed);
        it.start_apply("base");
        it.run();
        it.lost_write_fraction = (seed & 1U) != 0 ? 0.4 : 0.0;
        it.lost_answer_fraction = (seed & 2U) != 0 ? 0.4 : 0.0;
        it.platform.take_stale_snapshot();
        it.platform.faults.stale_reads = (seed & 4U) != 0;
        it.platform.faults.throttled = seed % 16 == 8;
        it.platform.faults.lose_answers = seed % 32 == 16;
        it.start_apply("one");
        it.start_apply("two");
        it.run();
        it.deliver_late_writes();
        for (std::size_t n = 1; n < 3; ++n) {
            const auto outcome = it.result(n).outcome;
            BOOST_TEST((outcome != apply_outcome::applied || it.took_effect(n)), "seed " << seed);
            BOOST_TEST((outcome != apply_outcome::refused || !it.took_effect(n)), "seed " << seed);
            BOOST_TEST((outcome != apply_outcome::lost_race || !it.took_effect(n)), "seed " << seed);
            unknown += outcome == apply_outcome::unknown ? 1 : 0;
        }
    }
    BOOST_TEST(unknown > 0);
}

BOOST_AUTO_TEST_CASE(the_outcome_is_unknown_if_it_cannot_be_verified) {
    apply_simulation it(9);
    it.start_apply("base");
    it.run();
    it.lost_answer_fraction = 1.0;
    it.platform.take_stale_snapshot();
    it.platform.faults.stale_reads = true;
    it.start_apply("one");
    it.run();
    BOOST_TEST((it.result(1).outcome == apply_outcome::unknown));
    BOOST_TEST(it.took_effect(1));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_resolved_from_the_history_after_another_change) {
    apply_options options;
    options.token = "mine";
    configuration_apply run(codec, "mine", options);
    std::vector<platform_call> calls;
    run.start({}, calls);
    platform_response answer;
    answer.status = platform_status::not_found;
    run.handle({calls.back().id, answer}, {}, calls);
    run.handle({calls.back().id, platform_response{}}, {}, calls); // The answer to the write is lost.
    BOOST_REQUIRE((calls.back().request.method == platform_method::get));
    auto head = testing::plain_head(2, "other", "other's");
    head.history = {{1, "mine"}};
    answer.status = platform_status::ok;
    answer.objects = {{"configuration", "current", "9", codec.encode_head(head), false}};
    run.handle({calls.back().id, answer}, {}, calls);
    BOOST_REQUIRE(run.result().has_value());
    BOOST_TEST((run.result()->outcome == apply_outcome::applied));
    BOOST_TEST(run.result()->generation == 1U);
}

BOOST_AUTO_TEST_CASE(an_apply_is_refused_while_the_platform_is_down) {
    apply_simulation it(10);
    it.platform.faults.down = true;
    it.start_apply("one");
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::refused));
}

BOOST_AUTO_TEST_SUITE_END()
