// Applying whole or not at all: lost answers, faults alone and in pairs, and operators who race each other.
#include "configuration_world.hpp"

#include <skylarkseam/control/configuration_apply.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace skylarkseam;

namespace {

const configuration_codec& codec = testing::plain_codec();

/// Some operators and a platform, on virtual time; answers come after a random while, or not at all.
class operators {
public:
    explicit operators(std::uint64_t seed)
        : random_(seed) {}

    testing::fake_platform platform;
    double lost_writes = 0.0;  ///< of the writes, those that never reach the platform
    double lost_answers = 0.0; ///< of the writes, those that take effect without an answer
    duration late_write{};     ///< how much later a lost write may still take effect

    std::size_t begin(const std::string& body, std::optional<generation_id> expected = std::nullopt) {
        apply_options options;
        options.token = "token-" + std::to_string(runs_.size());
        options.expected = expected;
        runs_.push_back(std::make_unique<configuration_apply>(codec, body, options));
        std::vector<platform_call> out;
        runs_.back()->start(now_, out);
        send(runs_.size() - 1, out);
        return runs_.size() - 1;
    }

    /// Runs until every attempt has ended; each must end by its patience.
    void run() {
        while (!all_ended()) {
            BOOST_REQUIRE((now_ < time_point{} + seconds(120)));
            now_ += milliseconds(1);
            take_due();
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
    /// Whether this attempt's change was ever made.
    [[nodiscard]] bool took_effect(std::size_t n) const {
        return effects_.contains("token-" + std::to_string(n));
    }
    /// Lets writes that are still under way arrive.
    void settle() {
        for (const auto& it : late_) {
            note(platform.answer(it, now_), it);
        }
        late_.clear();
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

    bool chance(double part) { return random_(1'000'000) < part * 1'000'000; }

    void note(const platform_response& answer, const platform_request& request) {
        if (answer.status == platform_status::ok && request.kind == configuration_kind &&
            request.method != platform_method::get) {
            effects_.insert(codec.decode_head(request.value_json).value().token);
        }
    }

    void send(std::size_t run, const std::vector<platform_call>& calls) {
        for (const auto& it : calls) {
            const bool writes = it.request.method != platform_method::get;
            platform_response answer;
            if (writes && chance(lost_writes)) {
                late_.push_back(it.request);
                answer.status = platform_status::unavailable;
            } else {
                const auto losing = platform.faults.lose_answers;
                platform.faults.lose_answers = false;
                answer = platform.answer(it.request, now_);
                platform.faults.lose_answers = losing;
                note(answer, it.request);
                if (losing || (writes && chance(lost_answers))) {
                    answer = {};
                }
            }
            pending_.push_back({now_ + milliseconds(1 + random_(40)), run, {it.id, std::move(answer)}});
        }
    }

    void take_due() {
        if (!late_.empty() && chance(0.002)) {
            settle();
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
    std::vector<platform_request> late_; ///< writes whose answer was given up, and that may still arrive
    std::set<std::string> effects_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(applying_a_configuration)

BOOST_AUTO_TEST_CASE(generations_rise_by_one_and_a_repeat_changes_nothing) {
    operators it(1);
    it.begin("first");
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::applied));
    BOOST_TEST(it.result(0).generation == 1U);
    it.begin("second");
    it.run();
    BOOST_TEST(it.result(1).generation == 2U);
    it.begin("second");
    it.run();
    BOOST_TEST((it.result(2).outcome == apply_outcome::unchanged));
    BOOST_TEST(it.head().generation == 2U);
}

BOOST_AUTO_TEST_CASE(a_long_body_is_written_in_pieces_before_the_head_names_them) {
    operators it(2);
    const std::string body(3 * configuration_piece_bytes - 7, 'x');
    it.lost_answers = 0.3;
    it.begin(body);
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::applied));
    std::string joined;
    for (const auto& name : it.head().pieces) {
        joined += it.platform.value("configuration_part", name);
    }
    BOOST_TEST((joined == body));
}

BOOST_AUTO_TEST_CASE(a_change_based_on_an_older_generation_is_refused_where_that_is_asked_for) {
    operators it(3);
    it.begin("first");
    it.run();
    it.begin("second", 0);
    it.run();
    BOOST_TEST((it.result(1).outcome == apply_outcome::lost_race));
    BOOST_TEST(it.head().body == "first");
}

BOOST_AUTO_TEST_CASE(of_two_operators_exactly_one_wins_and_the_other_learns_by_what) {
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        operators it(seed);
        it.lost_answers = seed % 2 == 0 ? 0.0 : 0.5;
        it.begin("one");
        it.begin("two");
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

BOOST_AUTO_TEST_CASE(what_is_said_is_true_under_every_fault_alone_and_in_pairs) {
    int unknown = 0;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        operators it(seed);
        it.begin("base");
        it.run();
        it.lost_writes = (seed & 1U) != 0 ? 0.4 : 0.0;
        it.lost_answers = (seed & 2U) != 0 ? 0.4 : 0.0;
        it.platform.remember();
        it.platform.faults.stale_reads = (seed & 4U) != 0;
        it.platform.faults.throttled = seed % 16 == 8;
        it.platform.faults.lose_answers = seed % 32 == 16;
        it.begin("one");
        it.begin("two");
        it.run();
        it.settle();
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

BOOST_AUTO_TEST_CASE(an_answer_that_stays_lost_is_said_to_be_unknown) {
    operators it(9);
    it.begin("base");
    it.run();
    it.lost_answers = 1.0;
    it.platform.remember();
    it.platform.faults.stale_reads = true;
    it.begin("one");
    it.run();
    BOOST_TEST((it.result(1).outcome == apply_outcome::unknown));
    BOOST_TEST(it.took_effect(1));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_although_another_change_has_followed) {
    apply_options options;
    options.token = "mine";
    configuration_apply run(codec, "mine", options);
    std::vector<platform_call> calls;
    run.start({}, calls);
    platform_response answer;
    answer.status = platform_status::not_found;
    run.handle({calls.back().id, answer}, {}, calls);
    run.handle({calls.back().id, platform_response{}}, {}, calls); // the answer to the write is lost
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

BOOST_AUTO_TEST_CASE(a_platform_that_is_down_refuses) {
    operators it(10);
    it.platform.faults.down = true;
    it.begin("one");
    it.run();
    BOOST_TEST((it.result(0).outcome == apply_outcome::refused));
}

BOOST_AUTO_TEST_SUITE_END()
