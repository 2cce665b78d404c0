#include <skylarkseam/wire/document.hpp>

#include <algorithm>
#include <tuple>

namespace skylarkseam {

const document_node* document_node::find(std::string_view key) const {
    for (const auto& it : members) {
        if (it.key == key) {
            return &it.value;
        }
    }
    return nullptr;
}

std::string to_string(const document_fault& it) {
    std::string text = it.file;
    if (it.line > 0) {
        text += ':' + std::to_string(it.line);
    }
    if (!text.empty()) {
        text += ": ";
    }
    if (!it.field.empty()) {
        text += it.field + ": ";
    }
    return text + it.text;
}

std::string to_string(const std::vector<document_fault>& faults) {
    std::string text;
    for (const auto& it : faults) {
        text += text.empty() ? "" : "\n";
        text += to_string(it);
    }
    return text;
}

std::vector<document_fault> fault_list::sorted() const {
    auto faults = faults_;
    std::stable_sort(faults.begin(), faults.end(), [](const document_fault& a, const document_fault& b) {
        return std::tie(a.file, a.line) < std::tie(b.file, b.line);
    });
    return faults;
}

} // namespace skylarkseam
