// Helpers for messages in MessagePack. Each message is an array whose first element is the codec version.
// Included only by the codecs.
#pragma once

#include <skylarkseam/core/error.hpp>
#include <skylarkseam/core/time.hpp>

#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkseam {

inline constexpr std::uint32_t codec_version = 1;
inline constexpr std::size_t max_elements = 1U << 20U;
inline constexpr std::size_t max_depth = 16;

using packer = msgpack::packer<msgpack::sbuffer>;

/// Returns the limits on the sizes that a message may declare. They prevent a short message with large
/// declared sizes from causing a large allocation.
inline msgpack::unpack_limit decode_limits() {
    return {max_elements, max_elements, 1U << 26U, 1U << 26U, 0, max_depth};
}

template <typename Write>
std::string encode_message(std::uint32_t fields, Write write) {
    msgpack::sbuffer buf;
    packer pack(buf);
    pack.pack_array(fields + 1);
    pack.pack(codec_version);
    write(pack);
    return {buf.data(), buf.size()};
}

/// Packs a list as an array; `write` packs one element.
template <typename List, typename Write>
void pack_list(packer& to, const List& list, Write write) {
    to.pack_array(static_cast<std::uint32_t>(list.size()));
    for (const auto& it : list) {
        write(it);
    }
}

/// Reads the elements of one array in order. Throws msgpack::type_error if the array has not exactly `fields`
/// elements, or an element has another type.
class field_reader {
public:
    field_reader(const msgpack::object& from, std::uint32_t fields) {
        if (from.type != msgpack::type::ARRAY || from.via.array.size != fields) {
            throw msgpack::type_error();
        }
        next_ = from.via.array.ptr;
    }

    template <typename T>
    T next() {
        return (next_++)->as<T>();
    }

    template <typename T>
    void read_into(T& value) {
        (next_++)->convert(value);
    }

    const msgpack::object& next_object() { return *next_++; }

    duration next_duration() { return duration(next<std::int64_t>()); }

    template <typename Enum>
    Enum next_enum(Enum last) {
        const auto value = next<std::uint32_t>();
        if (value > static_cast<std::uint32_t>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enum>(value);
    }

private:
    const msgpack::object* next_ = nullptr;
};

/// Decodes the message at the beginning of `bytes`, and takes it off them.
template <typename T, typename Read>
result<T> take_message(std::string_view& bytes, std::uint32_t fields, Read read) {
    try {
        const auto by_reference = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        std::size_t end = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), end, by_reference, nullptr, decode_limits());
        bytes.remove_prefix(end);
        field_reader reader(handle.get(), fields + 1);
        if (reader.next<std::uint32_t>() != codec_version) {
            return make_error(error_kind::protocol_violation, "a message of another version");
        }
        return read(reader);
    } catch (const std::exception& ec) {
        return make_error(error_kind::protocol_violation,
                          std::string("a message of the wrong form: ") + ec.what());
    }
}

/// Decodes a message and ignores what follows it: a later build may append a message that this one does not
/// know.
template <typename T, typename Read>
result<T> decode_message(std::string_view bytes, std::uint32_t fields, Read read) {
    return take_message<T>(bytes, fields, std::move(read));
}

inline const msgpack::object_array& array_of(const msgpack::object& from) {
    if (from.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    return from.via.array;
}

template <typename Read>
auto read_list(const msgpack::object& from, std::uint32_t fields, Read read) {
    const auto& list = array_of(from);
    field_reader* none = nullptr;
    std::vector<decltype(read(*none))> out;
    out.reserve(list.size);
    for (std::uint32_t it = 0; it < list.size; ++it) {
        field_reader reader(list.ptr[it], fields);
        out.push_back(read(reader));
    }
    return out;
}

} // namespace skylarkseam
