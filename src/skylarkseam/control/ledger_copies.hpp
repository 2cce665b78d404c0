// The copies of other nodes' ledger segments that this node holds through an outage, and stores for an origin
// that has gone.
#pragma once

#include <skylarkseam/control/ledger_segment.hpp>
#include <skylarkseam/control/platform_call.hpp>
#include <skylarkseam/core/ownership.hpp>
#include <skylarkseam/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkseam {

struct ledger_copies_settings {
    std::size_t memory_bytes = 32U << 20U;
    duration write_interval = milliseconds(500);
};

class ledger_copies {
public:
    explicit ledger_copies(ledger_copies_settings settings = {});

    /// Holds a copy; false where it is not a segment or there is no room.
    bool hold(const std::string& segment_json);

    /// Drops the copies of an incarnation up to a record, which its origin has stored.
    void release(const std::string& node, std::uint64_t incarnation, std::uint64_t up_to);

    /// The nodes that are up; the segments of all others are stored from here.
    void set_members(std::vector<member> members, time_point now);

    void handle(const platform_answer& event, time_point now, std::vector<platform_call>& out);
    void pass_time(time_point now, std::vector<platform_call>& out);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t held() const { return copies_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    struct copy {
        std::string node;
        std::uint64_t incarnation = 0;
        std::uint64_t last = 0;
        std::string json;
    };
    [[nodiscard]] bool is_orphan(const copy& it) const;
    void erase(const std::string& name);

    ledger_copies_settings settings_;
    std::map<std::string, copy> copies_; ///< by segment name
    std::size_t bytes_ = 0;
    std::vector<member> members_;
    std::string writing_; ///< name of the segment that is being stored; empty: none
    platform_call_id last_call_ = 0;
    std::optional<time_point> next_write_; ///< nothing: there is no orphan
};

} // namespace skylarkseam
