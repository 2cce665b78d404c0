#include <skylarkseam/gateway/record_merge.hpp>

#include <algorithm>
#include <cstring>
#include <vector>

namespace skylarkseam {

std::string greatest_records(std::span<const std::string_view> parts, std::size_t limit) {
    std::vector<const char*> records;
    for (const auto& part : parts) {
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes) {
            records.push_back(part.data() + at);
        }
    }
    const auto n = std::min(limit, records.size());
    const auto greater = [](const char* a, const char* b) { return std::memcmp(a, b, record_bytes) > 0; };
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(records.begin(), end, records.end(), greater);
    std::string body;
    body.reserve(n * record_bytes);
    for (auto it = records.begin(); it != end; ++it) {
        body.append(*it, record_bytes);
    }
    return body;
}

void keep_greatest_records(std::string& part, std::size_t limit) {
    if (part.size() / record_bytes > limit) {
        const std::string_view whole(part);
        part = greatest_records({&whole, 1}, limit);
    }
}

} // namespace skylarkseam
