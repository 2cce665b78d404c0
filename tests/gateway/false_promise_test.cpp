// Searchers that answer requests which they have run with a status that promises "not run", and do not state
// it otherwise. Whatever way such an answer takes, no client is told that a request has not run which has.
#include "gateway_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace skylarkseam;
using namespace skylarkseam::testing;

namespace {

const std::vector<int> promising_statuses{408, 421, 429, 503};

struct false_promise_world {
    gateway_world world;
    std::vector<std::string> services;

    explicit false_promise_world(bool shards, repeatability repeat, std::uint32_t hosts = 3)
        : world(hosts)
        , services(shards ? std::vector<std::string>{"s0", "s1", "s2"} : std::vector<std::string>{"desk"}) {
        for (const auto& it : services) {
            world.add_service(it, 4, {"a", "b", "c"});
        }
        world.add_route(shards ? shard_route(services, 1.0) : single_route("desk", repeat));
        world.publish();
    }

    void each_searcher(const std::function<void(searcher_behaviour&)>& change) {
        for (auto& [service, list] : world.searchers) {
            for (auto& it : list) {
                change(it->behaviour);
            }
        }
    }

    [[nodiscard]] int runs_of(const std::string& id) const {
        int n = 0;
        for (const auto& service : services) {
            const auto runs = world.runs_of(service);
            const auto found = runs.find(id);
            n += found == runs.end() ? 0 : found->second;
        }
        return n;
    }

    /// Checks what clients were told against what the searchers ran.
    void check(const std::string& text) const {
        for (const auto& it : world.results) {
            const bool told_not_run =
                std::count(promising_statuses.begin(), promising_statuses.end(), it.status) > 0;
            const auto runs = runs_of(it.id);
            BOOST_TEST((!told_not_run || runs == 0),
                       text << ": " << it.status << " after " << runs << " runs, " << it.fault);
            BOOST_TEST((it.report.may_have_run() || runs == 0), text << ": " << it.fault);
            BOOST_TEST((!told_not_run || !it.report.may_have_run()), text << ": " << it.fault);
        }
    }

    [[nodiscard]] std::size_t count(int status) const {
        return static_cast<std::size_t>(std::count_if(world.results.begin(), world.results.end(),
                                                      [&](const auto& it) { return it.status == status; }));
    }
};

struct shape {
    const char* name;
    bool shards;
    repeatability repeat;
};
const std::vector<shape> shapes{{"unsafe", false, repeatability::at_most_once},
                                {"safe", false, repeatability::idempotent},
                                {"shards", true, repeatability::idempotent}};

} // namespace

BOOST_AUTO_TEST_SUITE(a_searchers_status_that_falsely_promises_not_run)

// Guards against a promise of a searcher that has run the request, which its client then sends again.
BOOST_AUTO_TEST_CASE(reaches_no_client_while_part_of_the_requests_fail) {
    for (const auto& shape : shapes) {
        for (const int status : promising_statuses) {
            false_promise_world it(shape.shards, shape.repeat);
            it.each_searcher([&](auto& behaviour) {
                behaviour.failed_share = 0.5;
                behaviour.failed_status = status;
                behaviour.refused_share = 0.2;
            });
            it.world.load(shape.shards ? "/search/x" : "/audit/x", 60.0, seconds(10));
            it.world.run_for(seconds(14));
            const auto text = std::string(shape.name) + " " + std::to_string(status);
            it.check(text);
            BOOST_TEST(it.count(502) > 0U, text);
            BOOST_TEST(it.count(200) > 0U, text);
        }
    }
}

BOOST_AUTO_TEST_CASE(reaches_no_client_at_a_deadline_or_at_the_end_of_the_process) {
    for (const auto& shape : shapes) {
        for (const int status : promising_statuses) {
            false_promise_world it(shape.shards, shape.repeat);
            it.each_searcher([&](auto& behaviour) {
                behaviour.failed_share = 0.6;
                behaviour.failed_status = status;
                behaviour.slowdown = 2.0;
            });
            const std::string path = shape.shards ? "/search/x" : "/audit/x";
            for (int n = 0; n < 200; ++n) {
                it.world.after(milliseconds(n * 5), [&, n] {
                    it.world.send_request(path, static_cast<std::uint32_t>(n % 3), milliseconds(20 + n));
                });
            }
            it.world.run_for(milliseconds(1010));
            for (std::uint32_t host = 0; host < 3; ++host) {
                it.world.end_open_requests(host);
            }
            it.world.run_for(seconds(3));
            BOOST_TEST(it.world.results.size() == 200U);
            it.check(std::string(shape.name) + " " + std::to_string(status));
        }
    }
}

BOOST_AUTO_TEST_CASE(leaves_a_request_that_may_run_again_to_another_searcher) {
    for (const int status : promising_statuses) {
        false_promise_world it(false, repeatability::idempotent);
        it.world.at("desk", 0).behaviour.failed_share = 1.0;
        it.world.at("desk", 0).behaviour.failed_status = status;
        it.world.send_request("/audit/x", 0);
        it.world.run_for(seconds(2));
        BOOST_TEST(it.count(200) == 1U, status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_is_passed_on_to_another_host)

// Guards against a second run: the searcher of one host has run the request and answered 503, and the host
// that has no searchers takes this for "no room, not run" and passes the request on again.
BOOST_AUTO_TEST_CASE(runs_once_and_gets_no_false_promise) {
    for (const bool old_builds : {false, true}) {
        for (const auto& shape : shapes) {
            for (const int status : promising_statuses) {
                false_promise_world it(shape.shards, shape.repeat);
                it.each_searcher([&](auto& behaviour) {
                    behaviour.failed_share = 0.5;
                    behaviour.failed_status = status;
                    behaviour.refused_share = 0.2;
                });
                it.world.links[0] = upstream_links::refused;
                if (old_builds) {
                    it.world.of_an_old_build = {1, 2};
                }
                it.world.load(shape.shards ? "/search/x" : "/audit/x", 60.0, seconds(8));
                // The processes of both sides end what is open, and go on in this model.
                for (int n = 0; n < 40; ++n) {
                    it.world.after(seconds(3) + milliseconds(n * 97), [&it, n] {
                        it.world.end_open_requests(static_cast<std::uint32_t>(n % 2));
                    });
                }
                it.world.run_for(seconds(12));
                const auto text = std::string(shape.name) + " " + std::to_string(status) +
                                  (old_builds ? ", old builds" : "");
                it.check(text);
                BOOST_TEST(it.world.hosts[0]->counters().relayed > 20U, text);
                for (const auto& result : it.world.results) {
                    BOOST_TEST((shape.repeat == repeatability::idempotent || it.runs_of(result.id) <= 1),
                               text);
                }
            }
        }
    }
}

namespace {

struct stranded_host {
    false_promise_world it;
    gateway& host;
    std::vector<gateway_output> out;
    request_token token = 1'000'000; ///< Beyond those of the world

    explicit stranded_host(repeatability repeat)
        : it(false, repeat, 4)
        , host(*it.world.hosts[0]) {
        it.world.links[0] = upstream_links::refused;
        it.world.load("/audit/x", 60.0, seconds(2));
        it.world.run_for(seconds(3));
        BOOST_TEST_REQUIRE(host.reach().cut_off());
        host.handle(gateway_event::request_arrived{{token, "r", "search.example", "/audit/y", seconds(2)}},
                    it.world.now, out);
    }

    /// Answers of hosts, one after the other. Returns what the client is told; nothing if it still waits.
    std::optional<gateway_action::answer> hear(const std::vector<gateway_answer::relayed>& answers) {
        for (const auto& answer : answers) {
            host.handle(gateway_event::relay_accepted{token}, it.world.now, out);
            out.clear();
            host.handle(gateway_event::relay_ended{token, {relay_outcome::answered, answer, {}}},
                        it.world.now, out);
        }
        for (auto& action : out) {
            if (auto* const answer = std::get_if<gateway_action::answer>(&action)) {
                return *answer;
            }
        }
        return std::nullopt;
    }
};

int status_of(const gateway_action::answer& answer) {
    const auto* const refused = std::get_if<gateway_answer::refused>(&answer.value);
    return refused != nullptr ? refused->status : std::get<gateway_answer::relayed>(answer.value).status;
}

gateway_answer::relayed answer_with(int status, const execution_report& report) {
    return {status, "text/plain", {}, "body", report};
}

constexpr execution_report not_run{run_state::no, execution_source::gateway};
constexpr execution_report unstated{};

} // namespace

BOOST_AUTO_TEST_CASE(is_not_passed_on_again_if_the_other_host_does_not_say_that_it_has_not_run) {
    for (const auto repeat : {repeatability::at_most_once, repeatability::idempotent}) {
        for (const int status : promising_statuses) {
            for (const auto& report :
                 {unstated, execution_report{run_state::yes, execution_source::searcher}}) {
                stranded_host it(repeat);
                const auto answer = it.hear({answer_with(status, report)});
                BOOST_TEST_REQUIRE(answer.has_value(), status);
                BOOST_TEST(status_of(*answer) == 502, status);
                BOOST_TEST(answer->report.may_have_run(), status);
                BOOST_TEST((answer->report.source == report.source), status);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_passed_on_once_more_if_it_has_not_run_and_then_refused) {
    stranded_host it(repeatability::at_most_once);
    BOOST_TEST(!it.hear({answer_with(503, not_run)}).has_value());
    const auto answer = it.hear({answer_with(503, not_run)});
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(status_of(*answer) == 503);
    BOOST_TEST(!answer->report.may_have_run());
}

// Guards against the refusal of one host that stands for a host before it, which has not answered.
BOOST_AUTO_TEST_CASE(is_not_refused_as_not_run_if_it_was_lost_at_another_host) {
    stranded_host it(repeatability::idempotent);
    it.host.handle(gateway_event::relay_ended{it.token, {relay_outcome::lost, {}, "reset"}}, it.it.world.now,
                   it.out);
    const auto answer = it.hear({answer_with(503, not_run), answer_with(503, not_run)});
    BOOST_TEST_REQUIRE(answer.has_value());
    BOOST_TEST(status_of(*answer) == 502);
    BOOST_TEST(answer->report.may_have_run());
}

BOOST_AUTO_TEST_CASE(is_answered_as_the_other_host_says_if_its_status_promises_nothing) {
    for (const int status : {200, 404, 500, 502, 504}) {
        stranded_host it(repeatability::at_most_once);
        const auto answer = it.hear({answer_with(status, unstated)});
        BOOST_TEST_REQUIRE(answer.has_value(), status);
        BOOST_TEST(status_of(*answer) == status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_that_no_searcher_has_run)

BOOST_AUTO_TEST_CASE(is_refused_with_a_time_to_come_back) {
    for (const auto& shape : shapes) {
        false_promise_world it(shape.shards, shape.repeat);
        it.each_searcher([](auto& behaviour) { behaviour.refused_share = 1.0; });
        it.world.load(shape.shards ? "/search/x" : "/audit/x", 20.0, seconds(3));
        it.world.run_for(seconds(6));
        BOOST_TEST(it.count(503) > 0U, shape.name);
        for (const auto& result : it.world.results) {
            // Other parts of a query may still run when one part has been refused.
            BOOST_TEST((result.status == 503 || (shape.shards && result.report.may_have_run())), shape.name);
            BOOST_TEST((result.status == 503) == (result.retry_after > duration::zero()), shape.name);
            BOOST_TEST((result.report.source == execution_source::gateway));
        }
        it.check(shape.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
