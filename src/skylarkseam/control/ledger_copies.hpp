// Copies of other nodes' ledger segments. This node holds them during a platform outage, and stores them
// itself if the node that sent them is no longer up.
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

    /// Holds a copy; returns false if the text is not a segment or the memory limit is reached.
    bool hold(const std::string& segment_json);

    /// Drops the copies of an incarnation's segments up to a record, because that node has stored them.
    void release(const std::string& node, std::uint64_t incarnation, std::uint64_t up_to);

    /// Sets the nodes that are up. This node stores the copied segments of all others.
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
        std::string kind;
        std::string json;
    };
    /// Whether the node incarnation that sent the copy is no longer up.
    [[nodiscard]] bool is_orphan(const copy& it) const;
    void erase(const std::string& name);

    ledger_copies_settings settings_;
    std::map<std::string, copy> copies_; ///< Copies by segment name.
    std::size_t bytes_ = 0;
    std::vector<member> members_;
    std::string writing_; ///< Name of the segment that is being stored; empty if none.
    platform_call_id last_call_ = 0;
    std::optional<time_point> next_write_; ///< Time of the next write; empty if no copy is an orphan.
};

} // namespace skylarkseam
