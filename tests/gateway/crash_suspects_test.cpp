// Tests of the memory of requests under which searchers ended: what counts, what clears, and its bounds.
#include <skylarkseam/gateway/crash_suspects.hpp>

#include <boost/test/unit_test.hpp>

using namespace skylarkseam;

namespace {

struct suspects_fixture {
    crash_suspects suspects;
    time_point now{seconds(100)};

    static known_searcher_ptr searcher(const std::string& id) {
        auto it = std::make_shared<known_searcher>();
        it->record.id = id;
        return it;
    }

    /// Sends the request to a searcher, which ends after 20 ms.
    void end_under(const std::string& fingerprint, const std::string& id) {
        const auto it = searcher(id);
        const auto sent = now;
        now += milliseconds(20);
        suspects.add_loss(fingerprint, it, sent, now);
        now += milliseconds(1);
        suspects.note_ended(*it, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_memory_of_requests_that_crash_searchers, suspects_fixture)

BOOST_AUTO_TEST_CASE(refuses_a_request_after_three_ends) {
    end_under("q", "s1");
    BOOST_TEST((suspects.of("q", now) == suspicion::suspected));
    end_under("q", "s2");
    end_under("q", "s2"); // The same searcher counts once.
    BOOST_TEST((suspects.of("q", now) == suspicion::suspected));
    end_under("q", "s3");
    BOOST_TEST((suspects.of("q", now) == suspicion::refused));
    BOOST_TEST((suspects.of("other", now) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(counts_searchers_that_end_together_once) {
    const auto sent = now;
    std::vector<known_searcher_ptr> ended;
    for (const auto* const id : {"s1", "s2", "s3", "s4"}) {
        ended.push_back(searcher(id));
        now += milliseconds(5);
        suspects.add_loss("q", ended.back(), sent, now);
    }
    for (const auto& it : ended) {
        suspects.note_ended(*it, now);
    }
    BOOST_TEST(suspects.ends_of("q", now) == 1U);
}

// Guards against a harmless request that is refused because its searchers crashed together, each under a copy
// of it at another host.
BOOST_AUTO_TEST_CASE(counts_searchers_that_end_together_under_copies_at_several_hosts_once) {
    std::vector<crash_suspects> hosts(3);
    std::vector<known_searcher_ptr> ended;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        ended.push_back(searcher("s" + std::to_string(n)));
        hosts[n].add_loss("q", ended.back(), now, now + milliseconds(20 + 10 * static_cast<int>(n)));
    }
    now += milliseconds(60);
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        hosts[n].note_ended(*ended[n], now);
        now += milliseconds(10);
    }
    for (int round = 0; round < 3; ++round) {
        for (const auto& from : hosts) {
            const auto reports = from.reports_since(0, now);
            now += milliseconds(20);
            for (auto& to : hosts) {
                to.merge(reports, now);
            }
        }
    }
    for (const auto& it : hosts) {
        BOOST_TEST(it.ends_of("q", now) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(counts_its_own_end_once_if_another_host_reports_one_of_the_same_moment_first) {
    const auto it = searcher("s1");
    suspects.add_loss("q", it, now, now + milliseconds(20));
    now += milliseconds(80);
    suspects.merge({{"q", {{"s2", milliseconds(50)}}, std::nullopt}}, now);
    suspects.note_ended(*it, now);
    BOOST_TEST(suspects.ends_of("q", now) == 1U);
}

BOOST_AUTO_TEST_CASE(takes_over_the_refusal_of_another_host_whose_ends_came_in_quick_turn) {
    end_under("q", "s1");
    end_under("q", "s2");
    end_under("q", "s3");
    crash_suspects other;
    other.merge(suspects.reports_since(0, now), now);
    BOOST_TEST((other.of("q", now) == suspicion::refused));
}

BOOST_AUTO_TEST_CASE(counts_a_loss_only_if_the_searcher_ended) {
    const auto it = searcher("s1");
    BOOST_TEST(suspects.add_loss("q", it, now, now + milliseconds(20)));
    BOOST_TEST(suspects.undecided("q", now));
    suspects.note_checked(*it);
    BOOST_TEST(!suspects.undecided("q", now));
    suspects.note_alive(*it, now + milliseconds(21));
    BOOST_TEST(suspects.note_ended(*it, now + seconds(1)).empty());

    BOOST_TEST(suspects.add_loss("q", it, now + seconds(1), now + seconds(2)));
    BOOST_TEST(suspects.note_ended(*it, now + seconds(13)).empty()); // Too late to be the reason.

    it->leaving = now;
    BOOST_TEST(!suspects.add_loss("q", it, now + seconds(13), now + seconds(14)));
}

BOOST_AUTO_TEST_CASE(learns_of_an_end_from_the_store) {
    const auto it = searcher("s1");
    suspects.add_loss("q", it, now, now + milliseconds(20));
    BOOST_TEST(suspects.note_removed(now + seconds(1)).empty());
    it->ended = true;
    BOOST_TEST(suspects.note_removed(now + seconds(3)).size() == 1U);
    BOOST_TEST(suspects.ends_of("q", now + seconds(3)) == 1U);
}

BOOST_AUTO_TEST_CASE(clears_a_request_that_is_answered) {
    end_under("q", "s1");
    end_under("q", "s2");
    suspects.note_answered("q", now);
    BOOST_TEST((suspects.of("q", now) == suspicion::none));
    end_under("q", "s3");
    BOOST_TEST(suspects.ends_of("q", now) == 1U);
}

BOOST_AUTO_TEST_CASE(forgets) {
    for (const auto* const id : {"s1", "s2", "s3"}) {
        end_under("q", id);
    }
    now += seconds(599);
    BOOST_TEST((suspects.of("q", now) == suspicion::refused));
    now += seconds(2);
    BOOST_TEST((suspects.of("q", now) == suspicion::suspected));
    now += seconds(600);
    BOOST_TEST((suspects.of("q", now) == suspicion::none));
    suspects.expire(now);
    BOOST_TEST(suspects.size() == 0U);
}

BOOST_AUTO_TEST_CASE(is_bounded_and_keeps_what_it_refuses) {
    for (const auto* const id : {"s1", "s2", "s3"}) {
        end_under("q", id);
    }
    for (int n = 0; n < 2000; ++n) {
        end_under("beside-" + std::to_string(n), "t" + std::to_string(n));
    }
    BOOST_TEST(suspects.size() <= 512U);
    BOOST_TEST((suspects.of("q", now) == suspicion::refused));
    for (int n = 0; n < 2000; ++n) {
        suspects.add_loss("lost-" + std::to_string(n), searcher("u"), now, now);
    }
    BOOST_TEST(!suspects.undecided("lost-0", now));
    BOOST_TEST(suspects.undecided("lost-1999", now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(what_hosts_tell_each_other, suspects_fixture)

BOOST_AUTO_TEST_CASE(adds_up) {
    end_under("q", "s1");
    crash_suspects other;
    other.merge({{"q", {{"s2", milliseconds(400)}, {"s3", milliseconds(100)}}, std::nullopt}}, now);
    BOOST_TEST(other.merge(suspects.reports_since(0, now), now).size() == 1U);
    BOOST_TEST((other.of("q", now) == suspicion::refused));
    suspects.merge(other.reports_since(0, now), now);
    BOOST_TEST((suspects.refused_until("q", now) == other.refused_until("q", now)));
}

BOOST_AUTO_TEST_CASE(is_passed_on_once) {
    for (const auto* const id : {"s1", "s2", "s3", "s4", "s5"}) {
        end_under("q", id);
    }
    crash_suspects other;
    other.merge(suspects.reports_since(0, now), now);
    // Reports that come back, a little older each time, bring nothing.
    for (int n = 0; n < 5; ++n) {
        now += milliseconds(50);
        const auto sequence = suspects.sequence();
        BOOST_TEST(suspects.merge(other.reports_since(0, now), now).empty());
        BOOST_TEST(suspects.sequence() == sequence);
        BOOST_TEST(other.merge(suspects.reports_since(0, now), now).empty());
    }
    // Nor does an end that was left out because later ones are enough.
    BOOST_TEST(other.merge({{"q", {{"s1", seconds(1)}}, std::nullopt}}, now).empty());
}

BOOST_AUTO_TEST_CASE(includes_that_a_request_was_answered) {
    end_under("q", "s1");
    end_under("q", "s2");
    crash_suspects other;
    other.merge(suspects.reports_since(0, now), now);
    const auto before = other.reports_since(0, now);
    now += seconds(3);
    other.note_answered("q", now);
    suspects.merge(other.reports_since(0, now), now);
    BOOST_TEST((suspects.of("q", now) == suspicion::none));
    // A delayed report of the ends before does not count any more.
    suspects.merge({{"q", {{"s1", seconds(4)}}, std::nullopt}}, now);
    BOOST_TEST((suspects.of("q", now) == suspicion::none));
}

BOOST_AUTO_TEST_SUITE_END()
