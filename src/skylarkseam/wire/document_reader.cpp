#include <skylarkseam/wire/document_reader.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>

namespace skylarkseam {
namespace {

using node_kind = document_node::node_kind;

constexpr std::size_t max_name_length = 128;
constexpr std::int64_t max_port = 65535;

std::string_view kind_description(node_kind kind) {
    switch (kind) {
    case node_kind::scalar:
        return "a single value";
    case node_kind::sequence:
        return "a list";
    case node_kind::map:
        return "a map";
    case node_kind::null:
        break;
    }
    return "nothing";
}

bool is_letter_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::string range_description(integer_range range) {
    return "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
}

std::string short_number(double value) {
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), end.ptr};
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

bool is_ip(std::string_view text, int family) {
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(family, std::string(text).c_str(), buf.data()) == 1;
}

} // namespace

document_location document_location::member(std::string_view key) const {
    auto path = field;
    if (!path.empty()) {
        path += path.back() == ':' ? " " : ".";
    }
    return {file, path + std::string(key), faults};
}

document_location document_location::item(std::size_t index) const {
    return {file, field + '[' + std::to_string(index) + ']', faults};
}

std::optional<std::int64_t> read_integer(const document_node& node) {
    if (node.kind != node_kind::scalar || node.quoted) {
        return std::nullopt;
    }
    return parse_number<std::int64_t>(node.scalar);
}

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_length || !is_letter_or_digit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-'; });
}

bool is_address(std::string_view text, std::int64_t min_port) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return false;
    }
    const auto port = parse_number<std::int64_t>(text.substr(colon + 1));
    if (!port || *port < min_port || *port > max_port) {
        return false;
    }
    const auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        return is_ip(ip.substr(1, ip.size() - 2), AF_INET6);
    }
    return is_ip(ip, AF_INET);
}

map_reader::map_reader(const document_node& node, document_location location)
    : node_(node)
    , location_(std::move(location)) {
    if (node.kind != node_kind::map) {
        location_.add_fault(node, "must be a map, not " + std::string(kind_description(node.kind)));
    }
}

const document_node* map_reader::find_member(std::string_view key, presence needed, node_kind kind) {
    known_keys_.emplace(key);
    const auto* found = node_.find(key);
    if (found == nullptr) {
        if (needed == presence::required && node_.kind == node_kind::map) {
            location_.member(key).add_fault(node_, "is missing");
        }
        return nullptr;
    }
    if (found->kind != kind) {
        location_.member(key).add_fault(*found, "must be " + std::string(kind_description(kind)) + ", not " +
                                                    std::string(kind_description(found->kind)));
        return nullptr;
    }
    return found;
}

void map_reader::name(std::string_view key, std::string& out, presence needed) {
    const auto* it = find_member(key, needed, node_kind::scalar);
    if (it == nullptr) {
        return;
    }
    if (!is_name(it->scalar)) {
        location_.member(key).add_fault(*it,
                                        "must be 1 to 128 letters, digits, '.', '_' or '-', and begin with a "
                                        "letter or a digit");
        return;
    }
    out = it->scalar;
}

void map_reader::text(std::string_view key, std::string& out, presence needed) {
    if (const auto* it = find_member(key, needed, node_kind::scalar)) {
        out = it->scalar;
    }
}

void map_reader::address(std::string_view key, std::string& out, presence needed, std::int64_t min_port) {
    const auto* it = find_member(key, needed, node_kind::scalar);
    if (it == nullptr) {
        return;
    }
    if (!is_address(it->scalar, min_port)) {
        location_.member(key).add_fault(*it, "must be ip:port in numbers, not '" + it->scalar + "'");
        return;
    }
    out = it->scalar;
}

void map_reader::integer(std::string_view key, std::int64_t& out, integer_range range, presence needed) {
    const auto* it = find_member(key, needed, node_kind::scalar);
    if (it == nullptr) {
        return;
    }
    const auto value = read_integer(*it);
    if (!value || *value < range.min || *value > range.max) {
        location_.member(key).add_fault(*it,
                                        "must be " + range_description(range) + ", not '" + it->scalar + "'");
        return;
    }
    out = *value;
}

void map_reader::integer(std::string_view key, std::uint32_t& out, integer_range range, presence needed) {
    std::int64_t value = out;
    integer(key, value, range, needed);
    out = static_cast<std::uint32_t>(value);
}

void map_reader::size(std::string_view key, std::size_t& out, integer_range range) {
    auto value = static_cast<std::int64_t>(out);
    integer(key, value, range);
    out = static_cast<std::size_t>(value);
}

void map_reader::time_ms(std::string_view key, duration& out, integer_range range, presence needed) {
    auto value = to_ms(out);
    integer(key, value, range, needed);
    out = milliseconds(value);
}

void map_reader::number(std::string_view key, double& out, double min, double max) {
    const auto* it = find_member(key, presence::optional, node_kind::scalar);
    if (it == nullptr) {
        return;
    }
    const auto value = it->quoted ? std::nullopt : parse_number<double>(it->scalar);
    if (!value || !std::isfinite(*value) || *value < min || *value > max) {
        location_.member(key).add_fault(*it, "must be a number from " + short_number(min) + " to " +
                                                 short_number(max) + ", not '" + it->scalar + "'");
        return;
    }
    out = *value;
}

void map_reader::boolean(std::string_view key, bool& out) {
    const auto* it = find_member(key, presence::optional, node_kind::scalar);
    if (it == nullptr) {
        return;
    }
    if (it->quoted || (it->scalar != "true" && it->scalar != "false")) {
        location_.member(key).add_fault(*it, "must be true or false, not '" + it->scalar + "'");
        return;
    }
    out = it->scalar == "true";
}

void map_reader::choice(std::string_view key, std::string_view choices,
                        const std::function<bool(std::string_view)>& accept) {
    const auto* it = find_member(key, presence::optional, node_kind::scalar);
    if (it != nullptr && !accept(it->scalar)) {
        location_.member(key).add_fault(*it, "must be one of " + std::string(choices) + ", not '" +
                                                 it->scalar + "'");
    }
}

void map_reader::items(std::string_view key, presence needed,
                       const std::function<void(const document_node&, const document_location&)>& read) {
    const auto* list = find_member(key, needed, node_kind::sequence);
    if (list == nullptr) {
        return;
    }
    const auto list_location = location_.member(key);
    std::size_t n = 0;
    for (const auto& it : list->items) {
        read(it, list_location.item(n));
        ++n;
    }
}

void map_reader::section(std::string_view key, presence needed,
                         const std::function<void(map_reader&)>& read) {
    const auto* it = find_member(key, needed, node_kind::map);
    if (it == nullptr) {
        return;
    }
    map_reader nested(*it, location_.member(key));
    read(nested);
    nested.finish();
}

const document_node& map_reader::node_for(std::string_view key) const {
    const auto* found = node_.find(key);
    return found == nullptr ? node_ : *found;
}

void map_reader::finish() {
    for (const auto& it : node_.members) {
        if (!known_keys_.contains(it.key)) {
            location_.member(it.key).add_fault(it.value, "unknown key");
        }
    }
}

} // namespace skylarkseam
