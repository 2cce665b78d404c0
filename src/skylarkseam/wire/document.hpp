// A parsed document of any notation (YAML or JSON) as a tree that still knows where each value stood, and the
// list of faults found in it.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkseam {

struct document_member;

/// One value of a document. Invariant: only the member that belongs to `kind` is filled.
struct document_node {
    enum class node_kind { null, scalar, sequence, map };
    node_kind kind = node_kind::null;
    bool quoted = false; ///< a scalar that is text whatever it looks like
    std::string scalar;
    std::vector<document_node> items;
    std::vector<document_member> members; ///< in the order of the file
    int line = 0;                         ///< from 1; 0 where the notation has no lines

    [[nodiscard]] const document_node* find(std::string_view key) const;
};

struct document_member {
    std::string key;
    document_node value;
};

/// One document of a file.
struct document {
    std::string file;
    document_node root;
};

/// One fault, with the place where an operator mends it.
struct document_fault {
    std::string file;
    int line = 0;      ///< from 1; 0 where the fault has no line
    std::string field; ///< for instance "upstream_group search: searchers[2].address"
    std::string text;
    friend bool operator==(const document_fault&, const document_fault&) = default;
};

/// "FILE:LINE: FIELD: TEXT", without the parts that are not known.
[[nodiscard]] std::string to_string(const document_fault& it);
/// One line for each fault.
[[nodiscard]] std::string to_string(const std::vector<document_fault>& faults);

/// Collects faults in the order in which they are found.
class fault_list {
public:
    void add(const std::string& file, int line, std::string field, std::string text) {
        faults_.push_back({file, line, std::move(field), std::move(text)});
    }
    [[nodiscard]] const std::vector<document_fault>& all() const { return faults_; }
    [[nodiscard]] bool empty() const { return faults_.empty(); }
    /// The faults by file and line.
    [[nodiscard]] std::vector<document_fault> sorted() const;

private:
    std::vector<document_fault> faults_;
};

} // namespace skylarkseam
