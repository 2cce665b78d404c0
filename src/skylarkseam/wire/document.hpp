// Parsed document (from YAML or JSON) as a tree with the source line of each value, and the list of the
// faults (errors in the text or its values) that were found in documents.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkseam {

struct document_member;

/// One value of a document. Invariant: of `scalar`, `items` and `members`, only the one for `kind` is set.
struct document_node {
    enum class node_kind { null, scalar, sequence, map };
    node_kind kind = node_kind::null;
    bool quoted = false; ///< Scalar was quoted, and so is text even if it looks like a number.
    std::string scalar;
    std::vector<document_node> items;
    std::vector<document_member> members; ///< Members in file order.
    int line = 0;                         ///< Line number from 1; 0 for JSON.

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

/// One error in a document, with the place where an operator can correct it.
struct document_fault {
    std::string file;
    int line = 0;      ///< Line number from 1; 0 if the fault has no line.
    std::string field; ///< Path of the value, such as "upstream_group search: searchers[2].address".
    std::string text;
    friend bool operator==(const document_fault&, const document_fault&) = default;
};

/// Returns "FILE:LINE: FIELD: TEXT" without the parts that are empty.
[[nodiscard]] std::string to_string(const document_fault& it);
/// Returns one line for each fault.
[[nodiscard]] std::string to_string(const std::vector<document_fault>& faults);

/// List of faults in the order in which they were found.
class fault_list {
public:
    void add(const std::string& file, int line, std::string field, std::string text) {
        faults_.push_back({file, line, std::move(field), std::move(text)});
    }
    [[nodiscard]] const std::vector<document_fault>& all() const { return faults_; }
    [[nodiscard]] bool empty() const { return faults_.empty(); }
    /// Returns the faults sorted by file and line.
    [[nodiscard]] std::vector<document_fault> sorted() const;

private:
    std::vector<document_fault> faults_;
};

} // namespace skylarkseam
