// Reader for the members of a map in a document. Checks types, ranges and unknown keys, and adds a fault for
// each error.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/wire/document.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace skylarkseam {

/// Location of a value, used for the faults found in the value.
struct document_location {
    std::string file;
    std::string field;
    fault_list* faults = nullptr;

    void add_fault(const document_node& node, std::string text) const {
        faults->add(file, node.line, field, std::move(text));
    }
    [[nodiscard]] document_location member(std::string_view key) const;
    [[nodiscard]] document_location item(std::size_t index) const;
};

/// Requirement on the presence of a key.
enum class presence { required, optional };

/// Inclusive range of integers.
struct integer_range {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// Reader of one map. If a member is absent or invalid, the read function leaves `out` unchanged. finish()
/// reports the keys that were not read.
class map_reader {
public:
    /// A node that is not a map is a fault; it is then read as an empty map.
    map_reader(const document_node& node, document_location location);

    /// Marks a key as known if another reader has read it, so that finish() does not report it.
    void mark_known(std::string_view key) { known_keys_.emplace(key); }
    /// Reads a name: 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or a digit.
    void name(std::string_view key, std::string& out, presence needed = presence::required);
    void text(std::string_view key, std::string& out, presence needed = presence::required);
    /// Reads a numeric address: ip:port, or [ip]:port for IPv6.
    void address(std::string_view key, std::string& out, presence needed, std::int64_t min_port = 1);
    void integer(std::string_view key, std::int64_t& out, integer_range range,
                 presence needed = presence::optional);
    void integer(std::string_view key, std::uint32_t& out, integer_range range,
                 presence needed = presence::optional);
    void size(std::string_view key, std::size_t& out, integer_range range);
    void time_ms(std::string_view key, duration& out, integer_range range,
                 presence needed = presence::optional);
    void number(std::string_view key, double& out, double min, double max);
    void boolean(std::string_view key, bool& out);
    /// Calls `accept` with the text and adds a fault that lists `choices` if `accept` returns false.
    void choice(std::string_view key, std::string_view choices,
                const std::function<bool(std::string_view)>& accept);
    /// Reads a sequence by calling `read` for each item.
    void items(std::string_view key, presence needed,
               const std::function<void(const document_node&, const document_location&)>& read);
    /// Reads a nested map by calling `read` with a reader for it, and reports its unknown keys.
    void section(std::string_view key, presence needed, const std::function<void(map_reader&)>& read);

    /// Returns the node of a member, or the node of the map if the member is absent. Faults that concern
    /// several members take their line from this node.
    [[nodiscard]] const document_node& node_for(std::string_view key) const;
    [[nodiscard]] const document_location& location() const { return location_; }
    /// Adds a fault for each key that is not known.
    void finish();

private:
    const document_node* find_member(std::string_view key, presence needed, document_node::node_kind kind);

    const document_node& node_;
    document_location location_;
    std::set<std::string, std::less<>> known_keys_;
};

/// Returns the value of an unquoted integer scalar; nullopt for any other node.
[[nodiscard]] std::optional<std::int64_t> read_integer(const document_node& node);
[[nodiscard]] bool is_name(std::string_view text);
/// Returns whether `text` is a numeric ip:port or [ip]:port.
///
/// \param min_port  smallest valid port; 0 where port 0 (any free port) is allowed
[[nodiscard]] bool is_address(std::string_view text, std::int64_t min_port);

} // namespace skylarkseam
