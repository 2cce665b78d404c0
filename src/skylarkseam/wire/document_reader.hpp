// Reads the members of a map in a document: types, ranges and unknown keys, with a fault for each mistake.
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

/// Where a value stands, for the faults found in it.
struct document_place {
    std::string file;
    std::string field;
    fault_list* faults = nullptr;

    void fault(const document_node& at, std::string text) const {
        faults->add(file, at.line, field, std::move(text));
    }
    [[nodiscard]] document_place member(std::string_view key) const;
    [[nodiscard]] document_place item(std::size_t index) const;
};

/// Whether a key has to be there.
enum class presence { required, optional };

/// An inclusive range of whole numbers.
struct integer_range {
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// Reads one map. A member that is absent or wrong leaves `out` as it was; finish() reports what nobody read.
class map_reader {
public:
    /// A node that is no map is a fault, and reads as an empty one.
    map_reader(const document_node& node, document_place place);

    /// Marks a key as known that was read elsewhere.
    void allow(std::string_view key) { known_.emplace(key); }
    /// A name: 1 to 128 of letters, digits, '.', '_' and '-', the first one a letter or a digit.
    void name(std::string_view key, std::string& out, presence need = presence::required);
    void text(std::string_view key, std::string& out, presence need = presence::required);
    /// ip:port in numbers, [ip]:port for IPv6.
    void address(std::string_view key, std::string& out, presence need, std::int64_t least_port = 1);
    void integer(std::string_view key, std::int64_t& out, integer_range range,
                 presence need = presence::optional);
    void integer(std::string_view key, std::uint32_t& out, integer_range range,
                 presence need = presence::optional);
    void size(std::string_view key, std::size_t& out, integer_range range);
    void time_ms(std::string_view key, duration& out, integer_range range,
                 presence need = presence::optional);
    void number(std::string_view key, double& out, double least, double most);
    void boolean(std::string_view key, bool& out);
    /// Calls `accept` with the text; false means that it is none of `choices`.
    void choice(std::string_view key, std::string_view choices,
                const std::function<bool(std::string_view)>& accept);
    /// Calls `read` for each item of a sequence.
    void items(std::string_view key, presence need,
               const std::function<void(const document_node&, const document_place&)>& read);
    /// Calls `read` with a nested map.
    void section(std::string_view key, presence need, const std::function<void(map_reader&)>& read);

    /// The member's node, or the map's own where it is absent; for faults that concern several members.
    [[nodiscard]] const document_node& at(std::string_view key) const;
    [[nodiscard]] const document_place& place() const { return place_; }
    /// Reports the keys that nobody asked for.
    void finish();

private:
    const document_node* take(std::string_view key, presence need, document_node::node_kind kind);

    const document_node& node_;
    document_place place_;
    std::set<std::string, std::less<>> known_;
};

/// A whole number written as such, not as quoted text.
[[nodiscard]] std::optional<std::int64_t> read_integer(const document_node& node);
[[nodiscard]] bool is_name(std::string_view text);
/// \param least_port  0 where "any free port" is meant
[[nodiscard]] bool is_address(std::string_view text, std::int64_t least_port);

} // namespace skylarkseam
