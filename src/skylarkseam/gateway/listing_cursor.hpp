// Position in a listing that the store returns in pages, each of which begins after the last name of the one
// before.
#pragma once

#include <set>
#include <string>
#include <utility>

namespace skylarkseam {

/// Invariant: `after` is the last name that was added, so that the store's own order of names decides.
class listing_cursor {
public:
    /// Adds a name of the current page. Returns false if an earlier page had it: a page without any new name
    /// would come again and again.
    bool add(const std::string& name) {
        after_ = name;
        return names_.insert(name).second;
    }
    /// Name after which the next page begins; empty for the first page.
    [[nodiscard]] const std::string& after() const { return after_; }
    [[nodiscard]] const std::set<std::string>& names() const { return names_; }
    /// Ends the listing and returns all its names.
    std::set<std::string> take_names() {
        after_.clear();
        return std::exchange(names_, {});
    }

private:
    std::string after_;
    std::set<std::string> names_;
};

} // namespace skylarkseam
