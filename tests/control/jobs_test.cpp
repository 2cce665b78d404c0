// Durability of jobs: no acknowledged job is lost, and each one ends once, under faults of the hosts and the
// platform.
#include "virtual_world.hpp"

#include <skylarkseam/control/job_intake.hpp>
#include <skylarkseam/control/job_scheduler.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

constexpr std::uint64_t schedule_count = 400;

/// Job intake and job scheduler of one host.
struct job_host {
    fake_process<job_intake, intake_input, intake_output> intake;
    fake_process<job_scheduler, job_input, job_output> scheduler;
};

struct job_world {
    explicit job_world(std::uint64_t seed, std::size_t n = 3)
        : random(seed) {
        for (std::size_t it = 0; it < n; ++it) {
            hosts.push_back(std::make_unique<job_host>(job_host{
                {clock, [this, it](intake_output& output) { on_intake(*hosts[it], output); }},
                {clock, [this, it](job_output& output) { on_scheduler(*hosts[it], output); }},
            }));
            start(it);
        }
    }
    static std::string name_of_host(std::size_t host) { return "host" + std::to_string(host); }
    void start(std::size_t host) {
        const auto incarnation = hosts[host]->intake.incarnation() + 1;
        hosts[host]->intake.start(std::make_unique<job_intake>(name_of_host(host), incarnation));
        hosts[host]->scheduler.start(
            std::make_unique<job_scheduler>(name_of_host(host), incarnation, settings));
        share_members();
    }
    void crash(std::size_t host) {
        hosts[host]->intake.crash();
        hosts[host]->scheduler.crash();
        share_members();
    }
    void pause(std::size_t host, duration length) {
        hosts[host]->intake.pause(length);
        hosts[host]->scheduler.pause(length);
    }
    void share_members() {
        std::vector<member> up;
        for (std::size_t it = 0; it < hosts.size(); ++it) {
            if (hosts[it]->scheduler.is_up()) {
                up.push_back({name_of_host(it), 1, "", "", ""});
            }
        }
        for (auto& it : hosts) {
            if (it->scheduler.is_up()) {
                it->scheduler.machine().set_members(up);
                it->scheduler.feed(job_event::time_passed{});
            }
        }
    }
    void on_intake(job_host& host, intake_output& output) {
        if (auto* call = std::get_if<platform_call>(&output)) {
            return host.intake.call(platform, *call);
        }
        auto& it = std::get<intake_answer>(output);
        answers.insert_or_assign(it.id, std::move(it.answer));
    }
    void on_scheduler(job_host& host, job_output& output) {
        if (auto* call = std::get_if<platform_call>(&output)) {
            return host.scheduler.call(platform, *call);
        }
        if (auto* it = std::get_if<job_action::withdraw_job>(&output)) {
            withdrawn.push_back(it->job);
            return;
        }
        const auto& it = std::get<job_action::run_job>(output);
        started.push_back(it.request.caller);
        const auto incarnation = host.scheduler.incarnation();
        clock.after(run_time, [this, &host, it, incarnation] {
            ++runs[it.job];
            const bool poisoned = it.request.query_json == "\"poison\"";
            const auto end = poisoned              ? job_run_end::failed
                             : upstream_overloaded ? job_run_end::not_run
                                                   : job_run_end::answered;
            host.scheduler.feed(job_event::run_ended{it.job, it.fence, end, "\"answer\"", "the reason"},
                                incarnation);
        });
    }
    intake_id submit(std::size_t host, const std::string& query = "{}", const std::string& caller = "integra",
                     const std::string& key = "") {
        query_request request;
        request.caller = caller;
        request.service = "compliance";
        request.query_json = query;
        request.idempotency_key = key;
        hosts[host]->intake.feed(
            intake_event::job_submitted{++last_id, std::move(request), clock.now() + seconds(2)});
        return last_id;
    }
    result<job_record> cancel(const std::string& job) {
        hosts[0]->intake.feed(intake_event::job_cancelled{++last_id, job, "anna", clock.now() + seconds(2)});
        run_for(seconds(3));
        return answers.at(last_id);
    }
    result<job_record> find(const std::string& job, const std::string& caller = "integra") {
        hosts[0]->intake.feed(intake_event::job_asked_for{++last_id, job, caller, clock.now() + seconds(2)});
        run_for(seconds(3));
        return answers.at(last_id);
    }
    [[nodiscard]] std::string acknowledged(intake_id id) const {
        BOOST_REQUIRE(answers.at(id).has_value());
        return answers.at(id).value().id;
    }
    void run_for(duration length) { clock.run_until(clock.now() + length); }

    virtual_clock clock;
    random_source random;
    fake_platform platform{clock, random};
    job_settings settings;
    duration run_time = milliseconds(200);
    bool upstream_overloaded = false;
    std::vector<std::unique_ptr<job_host>> hosts;
    std::map<intake_id, result<job_record>> answers;
    std::map<std::string, int> runs;
    std::vector<std::string> started; ///< Callers in the order in which their runs started.
    std::vector<std::string> withdrawn;
    intake_id last_id = 0;
};

/// Whether a job is stored as a live object or as a result.
bool is_stored(const job_world& world, const std::string& job) {
    return world.platform.objects.contains({job_kind(bucket_of(job)), job}) ||
           world.platform.objects.contains({result_kind(bucket_of(job)), job});
}

} // namespace

BOOST_AUTO_TEST_SUITE(jobs)

BOOST_AUTO_TEST_CASE(a_job_is_acknowledged_when_stored_then_runs_and_its_result_is_found) {
    job_world world(1);
    const auto id = world.submit(0);
    world.run_for(milliseconds(20));
    const auto job = world.acknowledged(id);
    BOOST_TEST(is_stored(world, job));
    world.run_for(seconds(5));
    const auto found = world.find(job);
    BOOST_TEST((found.value().state == job_state::done));
    BOOST_TEST(found.value().answer_json == "\"answer\"");
    BOOST_TEST(world.find(job, "another").has_error());
    BOOST_TEST(world.runs[job] == 1);
}

BOOST_AUTO_TEST_CASE(no_job_is_acknowledged_during_a_platform_outage) {
    job_world world(2);
    world.platform.faults.down = true;
    const auto id = world.submit(0);
    world.run_for(seconds(5));
    BOOST_TEST((world.answers.at(id).error().ran == run_state::unknown));
    world.platform.faults.down = false;
    world.platform.faults.throttle = 1;
    const auto throttled = world.submit(0);
    world.run_for(seconds(5));
    BOOST_TEST((world.answers.at(throttled).error().ran == run_state::no));
}

BOOST_AUTO_TEST_CASE(a_repeat_with_the_same_key_gets_the_same_job_even_after_it_ended) {
    job_world world(3);
    const auto first = world.submit(0, "{}", "integra", "k");
    world.run_for(seconds(5));
    const auto second = world.submit(1, "{}", "integra", "k");
    const auto other = world.submit(2, "{\"x\":1}", "integra", "k");
    world.run_for(seconds(10));
    BOOST_REQUIRE(world.answers.at(second).has_value());
    BOOST_TEST((world.answers.at(other).error().kind == error_kind::key_reused));
    BOOST_TEST(world.acknowledged(first) == world.acknowledged(second));
    BOOST_TEST((world.find(world.acknowledged(first)).value().state == job_state::done));
    BOOST_TEST(world.runs[world.acknowledged(first)] == 1);
}

BOOST_AUTO_TEST_CASE(a_job_survives_a_simultaneous_crash_of_all_hosts) {
    job_world world(4);
    world.run_time = seconds(3);
    const auto id = world.submit(0);
    world.run_for(milliseconds(1500));
    for (std::size_t it = 0; it < world.hosts.size(); ++it) {
        world.crash(it);
    }
    world.run_for(seconds(60));
    BOOST_TEST(is_stored(world, world.acknowledged(id)));
    for (std::size_t it = 0; it < world.hosts.size(); ++it) {
        world.start(it);
    }
    world.run_for(seconds(40));
    BOOST_TEST((world.find(world.acknowledged(id)).value().state == job_state::done));
}

BOOST_AUTO_TEST_CASE(a_lease_is_not_taken_over_while_its_holder_renews_it) {
    job_world world(5);
    world.run_time = seconds(50);
    const auto id = world.submit(0);
    world.run_for(seconds(70));
    const auto job = world.find(world.acknowledged(id));
    BOOST_TEST((job.value().state == job_state::done));
    BOOST_TEST(job.value().fence == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_holder_does_not_overwrite_the_result_of_its_successor) {
    job_world world(6);
    world.run_time = seconds(2);
    const auto id = world.submit(0);
    world.run_for(milliseconds(1500));
    const auto job = world.acknowledged(id);
    for (std::size_t it = 0; it < world.hosts.size(); ++it) {
        if (world.hosts[it]->scheduler.machine().running() > 0) {
            world.pause(it, seconds(60));
            world.hosts[(it + 1) % 3]->scheduler.machine().set_members(
                {{job_world::name_of_host((it + 1) % 3), 1, "", "", ""}});
            world.hosts[(it + 1) % 3]->scheduler.feed(job_event::time_passed{});
        }
    }
    world.run_for(seconds(100));
    const auto object = world.platform.objects.at({result_kind(bucket_of(job)), job});
    BOOST_TEST(decode_job(object.value_json)->fence == 2U);
    BOOST_TEST(!world.platform.objects.contains({job_kind(bucket_of(job)), job}));
}

BOOST_AUTO_TEST_CASE(a_failing_job_is_parked_with_its_reason_and_delays_no_other_job) {
    job_world world(7, 1);
    std::vector<intake_id> poisoned;
    poisoned.reserve(20);
    for (int it = 0; it < 20; ++it) {
        poisoned.push_back(world.submit(0, "\"poison\""));
    }
    const auto healthy = world.submit(0);
    world.run_for(seconds(20));
    BOOST_TEST((world.find(world.acknowledged(healthy)).value().state == job_state::done));
    world.run_for(std::chrono::hours(2));
    for (const auto id : poisoned) {
        const auto job = world.find(world.acknowledged(id)).value();
        BOOST_TEST((job.state == job_state::failed));
        BOOST_TEST(job.reason == "the reason");
        BOOST_TEST(job.attempts == world.settings.max_attempts);
    }
}

BOOST_AUTO_TEST_CASE(a_job_that_crashes_its_hosts_is_parked) {
    job_world world(8, 1);
    world.run_time = std::chrono::hours(1);
    const auto id = world.submit(0);
    for (int it = 0; it < 12; ++it) {
        world.run_for(seconds(30));
        world.crash(0);
        world.start(0);
    }
    world.run_for(seconds(60));
    BOOST_TEST((world.find(world.acknowledged(id)).value().state == job_state::failed));
}

BOOST_AUTO_TEST_CASE(refusals_for_load_never_count_as_attempts) {
    job_world world(9);
    world.upstream_overloaded = true;
    const auto id = world.submit(0);
    world.run_for(std::chrono::hours(3));
    BOOST_TEST((world.find(world.acknowledged(id)).value().state != job_state::failed));
    world.upstream_overloaded = false;
    world.run_for(std::chrono::minutes(3));
    BOOST_TEST((world.find(world.acknowledged(id)).value().state == job_state::done));
}

BOOST_AUTO_TEST_CASE(callers_are_served_in_rotation_regardless_of_one_backlog) {
    job_world world(10, 1);
    world.settings.concurrency = 1;
    world.start(0);
    for (int it = 0; it < 100; ++it) {
        world.submit(0, "{}", "flooding");
    }
    world.run_for(seconds(2));
    world.submit(0, "{}", "small");
    const auto before = world.started.size();
    world.run_for(seconds(5));
    const auto first = std::find(world.started.begin(), world.started.end(), "small");
    BOOST_REQUIRE((first != world.started.end()));
    BOOST_TEST(static_cast<std::size_t>(first - world.started.begin()) <= before + 8);
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_is_withdrawn_and_stays_cancelled) {
    job_world world(11);
    world.run_time = seconds(20);
    const auto running = world.submit(0);
    world.run_for(seconds(3));
    const auto job = world.acknowledged(running);
    BOOST_TEST((world.cancel(job).value().state == job_state::cancelled));
    BOOST_TEST(world.withdrawn == std::vector{job}, boost::test_tools::per_element());
    world.run_for(seconds(60));
    BOOST_TEST((world.find(job).value().state == job_state::cancelled));
    BOOST_TEST(world.find(job).value().reason == "cancelled by anna");
    BOOST_TEST((world.cancel(job).error().kind == error_kind::conflict));
    BOOST_TEST((world.cancel("00000000").error().kind == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(the_read_rate_of_idle_hosts_stays_within_its_budget_at_any_number_of_hosts) {
    constexpr double max_reads_per_second = 10.0; // the control part's budget is 400 reads per second
    for (const std::size_t n : {std::size_t{3}, std::size_t{8}, std::size_t{64}}) {
        job_world world(12, n);
        world.run_for(seconds(600));
        const auto calls =
            world.platform.calls[platform_method::watch] + world.platform.calls[platform_method::list];
        BOOST_TEST_MESSAGE(n << " hosts, idle: " << calls << " reads in 600 s");
        BOOST_TEST(static_cast<double>(calls) / 600 < max_reads_per_second);
    }
}

BOOST_AUTO_TEST_CASE(over_many_schedules_no_acknowledged_job_is_lost) {
    std::uint64_t acknowledged = 0;
    std::uint64_t done = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            job_world world(seed);
            auto& random = world.random;
            auto& faults = world.platform.faults;
            faults.lose_answers = pick(random, 2) * 0.3;
            faults.lose_requests = pick(random, 2) * 0.2;
            faults.throttle = pick(random, 2) * 0.2;
            faults.max_delay = milliseconds(1 + pick(random, 600));
            world.run_time = milliseconds(100 + pick(random, 8000));
            for (int it = 0; it < 12; ++it) {
                world.clock.after(milliseconds(pick(random, 20'000)), [&world] {
                    const auto host = pick(world.random, 3);
                    if (world.hosts[host]->intake.is_up()) {
                        world.submit(host);
                    }
                });
                const auto host = pick(random, 3);
                const auto when = milliseconds(pick(random, 30'000));
                switch (pick(random, 4)) {
                case 0:
                    world.clock.after(when, [&world, host] { world.crash(host); });
                    world.clock.after(when + seconds(1), [&world, host] { world.start(host); });
                    break;
                case 1:
                    world.clock.after(when, [&world, host] { world.pause(host, seconds(25)); });
                    break;
                case 2:
                    world.clock.after(when, [&faults] { faults.down = true; });
                    world.clock.after(when + seconds(4), [&faults] { faults.down = false; });
                    break;
                default:
                    break;
                }
            }
            world.run_for(seconds(40));
            faults = {};
            world.run_for(std::chrono::minutes(15));
            for (const auto& [id, answer] : world.answers) {
                if (answer.has_error()) {
                    continue;
                }
                ++acknowledged;
                const auto& job = answer.value().id;
                const auto object = world.platform.objects.find({result_kind(bucket_of(job)), job});
                BOOST_TEST((object != world.platform.objects.end()), "job " << job << " has no result");
                const bool live = world.platform.objects.contains({job_kind(bucket_of(job)), job});
                BOOST_TEST(!live, "job " << job << " is still live");
                done += object != world.platform.objects.end() &&
                                decode_job(object->second.value_json)->state == job_state::done
                            ? 1
                            : 0;
            }
        }
    }
    BOOST_TEST_MESSAGE("acknowledged: " << acknowledged << ", done: " << done);
    BOOST_TEST(acknowledged > schedule_count);
    BOOST_TEST(done == acknowledged);
}

BOOST_AUTO_TEST_SUITE_END()
