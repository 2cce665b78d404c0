// Requests that may crash each searcher that runs them. A client sends such a request again and again, at any
// host, and without a memory of it one searcher after another ends. A searcher's end is held against the
// requests that were open there; a request under which several searchers ended, each after it had been sent
// again, is refused. Any answer of a searcher clears a request, so that requests which were only open beside
// such a one, or whose searchers ended for another reason, are not refused.
#pragma once

#include <skylarkseam/gateway/directory.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct suspect_limits {
    /// Number of searchers that have to end under a request before it is refused.
    std::size_t ends_to_refuse = 3;
    duration refusal_time = seconds(600); ///< Time for which it is refused, from the last end
    /// Time for which an end is remembered. After `refusal_time` the request is tried again, one attempt at a
    /// time, and one more end refuses it again.
    duration memory = seconds(1200);
    /// Time in which a lost connection has to turn out to be a searcher's end.
    duration loss_memory = seconds(10);
    /// Time for which it is remembered that a searcher answered the request, so that older ends that other
    /// hosts report do not count.
    duration answer_memory = seconds(60);
    /// Time between two ends on different hosts within which they may have the same cause: neither attempt
    /// was sent after the other one's end was known.
    duration same_moment = milliseconds(90);
    std::size_t max_suspects = 512;
    std::size_t max_losses = 256;
};

/// What the hosts tell each other about a request. Ages are as of the message.
struct suspect_report {
    struct end {
        std::string searcher;
        duration age{}; ///< Time since the searcher ended
    };

    std::string fingerprint;
    std::vector<end> ends;
    /// Time since a searcher answered the request, if one did; ends before that do not count.
    std::optional<duration> answered;
};

enum class suspicion {
    none,
    suspected, ///< A searcher ended under the request; it is sent to one searcher at a time
    refused,   ///< It is sent to no searcher
};

[[nodiscard]] std::string_view name_of(suspicion value);

/// Invariants: at most `max_suspects` requests and `max_losses` lost connections are remembered; the ends of
/// a request are of different searchers, and none is older than the last answer.
class crash_suspects {
public:
    explicit crash_suspects(suspect_limits limits = {})
        : limits_(limits) {}

    [[nodiscard]] suspicion of(const std::string& fingerprint, time_point now) const;
    /// Time up to which the request is refused; absent if it is not.
    [[nodiscard]] std::optional<time_point> refused_until(const std::string& fingerprint,
                                                          time_point now) const;
    /// Number of searchers that ended under the request.
    [[nodiscard]] std::size_t ends_of(const std::string& fingerprint, time_point now) const;

    /// Records that an attempt of the request lost its connection to the searcher. The loss counts once the
    /// searcher turns out to have ended. Returns false if it does not count in any case: the request had
    /// already lost another attempt when this one was sent, or the searcher was leaving.
    bool add_loss(const std::string& fingerprint, const known_searcher_ptr& searcher, time_point sent,
                  time_point now);
    /// Whether it is being found out if a searcher ended under the request.
    [[nodiscard]] bool undecided(const std::string& fingerprint, time_point now) const;
    /// Handles the result of a check that did not show whether the searcher ended.
    void note_checked(const known_searcher& searcher);
    /// Handles the searcher's answer to a request that was sent at `sent`: it did not end before.
    void note_alive(const known_searcher& searcher, time_point sent);
    /// Handles the end of a searcher. Returns the fingerprints of the requests that it is held against.
    std::vector<std::string> note_ended(const known_searcher& searcher, time_point now);
    /// The same for all searchers whose entry was removed or replaced.
    std::vector<std::string> note_removed(time_point now);
    /// Handles an answer to the request. Returns true if it clears the request.
    bool note_answered(const std::string& fingerprint, time_point now);

    /// Number of changes so far.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }
    /// What was learned after change number `after`; everything if it is 0.
    [[nodiscard]] std::vector<suspect_report> reports_since(std::uint64_t after, time_point now) const;
    /// Takes over what another host reports. Its ends count if the request is refused there, or if they lie
    /// apart from the ones that are known here. Returns the fingerprints of the requests of which more is
    /// known.
    std::vector<std::string> merge(const std::vector<suspect_report>& reports, time_point now);

    void expire(time_point now);
    [[nodiscard]] std::size_t size() const { return suspects_.size(); }
    [[nodiscard]] std::size_t refused(time_point now) const;
    /// What is known of the requests that are refused.
    [[nodiscard]] std::vector<suspect_report> refused_reports(time_point now) const;

private:
    struct searcher_end {
        std::string searcher;
        time_point when{};
    };
    struct suspect {
        std::vector<searcher_end> ends; ///< Oldest first
        std::optional<time_point> answered;
        std::uint64_t sequence = 0;
    };
    struct loss {
        std::string fingerprint;
        known_searcher_ptr searcher;
        time_point sent{};
        time_point when{};
        bool being_checked = true;
    };

    [[nodiscard]] static suspect_report report_of(const std::string& fingerprint, const suspect& it,
                                                  time_point now);
    [[nodiscard]] std::size_t count_ends(const suspect& it, time_point now) const;
    [[nodiscard]] bool expired(const suspect& it, time_point now) const;
    /// Returns false if the end is known or does not count.
    bool add_end(const std::string& fingerprint, searcher_end end, time_point now);
    /// Whether an end of another searcher is known within `same_moment` of `end`.
    [[nodiscard]] bool has_end_beside(const std::string& fingerprint, const searcher_end& end) const;
    bool set_answered(suspect& it, time_point when);
    void make_room(time_point now);

    suspect_limits limits_;
    std::map<std::string, suspect> suspects_; ///< Keyed by fingerprint
    std::vector<loss> losses_;                ///< Oldest first
    std::uint64_t sequence_ = 0;
};

} // namespace skylarkseam
