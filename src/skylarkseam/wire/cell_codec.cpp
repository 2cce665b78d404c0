#include <skylarkseam/wire/cell_codec.hpp>
#include <skylarkseam/wire/cell_json.hpp>
#include <skylarkseam/wire/msgpack_message.hpp>

namespace skylarkseam {
namespace {

constexpr std::uint32_t message_fields = 6;
constexpr std::size_t max_cell_elements = 1U << 16U;
constexpr std::size_t max_cell_bytes = 1U << 20U;
constexpr std::size_t max_cell_depth = 8;

template <typename... Fields>
void pack_all(packer& pack, const Fields&... fields) {
    pack.pack_array(sizeof...(fields));
    (pack.pack(fields), ...);
}

/// Visitor that packs the fields of a message body as one array.
struct body_packer {
    packer& pack;

    void operator()(const cell_message::probe& it) const { pack_all(pack, it.epoch, it.version); }
    void operator()(const cell_message::heartbeat& it) const {
        pack_all(pack, it.epoch, it.sequence, it.leaving);
    }
    void operator()(const cell_message::renewed& it) const {
        pack_all(pack, it.epoch, it.version, it.sequence,
                 it.record ? encode_cell_record(*it.record) : std::string());
    }
    void operator()(const cell_message::join& it) const {
        pack_all(pack, it.node.node, it.node.incarnation, it.node.zone, it.node.region, it.node.peer_address);
    }
    void operator()(const cell_message::vote_request& it) const { pack_all(pack, it.epoch, it.version); }
    void operator()(const cell_message::vote& it) const { pack_all(pack, it.epoch, it.version, it.granted); }
    void operator()(const cell_message::promise_request& it) const { pack_all(pack, it.epoch, it.sequence); }
    void operator()(const cell_message::promise& it) const {
        pack_all(pack, it.epoch, it.sequence, it.granted);
    }
    void operator()(const cell_message::released& it) const { pack_all(pack, it.epoch, it.searchers); }
    void operator()(const cell_message::release_received& it) const { pack_all(pack, it.searchers); }
};

template <typename... Fields>
void read_all(const msgpack::object& from, Fields&... fields) {
    field_reader reader(from, sizeof...(fields));
    (reader.read_into(fields), ...);
}

void read_body(const msgpack::object& from, cell_message::probe& it) {
    read_all(from, it.epoch, it.version);
}
void read_body(const msgpack::object& from, cell_message::heartbeat& it) {
    read_all(from, it.epoch, it.sequence, it.leaving);
}
void read_body(const msgpack::object& from, cell_message::renewed& it) {
    std::string record;
    read_all(from, it.epoch, it.version, it.sequence, record);
    if (record.empty()) {
        return;
    }
    auto decoded = decode_cell_record(record);
    if (!decoded) {
        throw msgpack::type_error();
    }
    it.record = std::move(decoded.value());
}
void read_body(const msgpack::object& from, cell_message::join& it) {
    read_all(from, it.node.node, it.node.incarnation, it.node.zone, it.node.region, it.node.peer_address);
}
void read_body(const msgpack::object& from, cell_message::vote_request& it) {
    read_all(from, it.epoch, it.version);
}
void read_body(const msgpack::object& from, cell_message::vote& it) {
    read_all(from, it.epoch, it.version, it.granted);
}
void read_body(const msgpack::object& from, cell_message::promise_request& it) {
    read_all(from, it.epoch, it.sequence);
}
void read_body(const msgpack::object& from, cell_message::promise& it) {
    read_all(from, it.epoch, it.sequence, it.granted);
}
void read_body(const msgpack::object& from, cell_message::released& it) {
    read_all(from, it.epoch, it.searchers);
}
void read_body(const msgpack::object& from, cell_message::release_received& it) {
    read_all(from, it.searchers);
}

/// Reads the message body whose type has the given index in the variant cell_message_body.
template <std::size_t Index = 0>
cell_message_body read_kind(std::size_t index, const msgpack::object& from) {
    if constexpr (Index == std::variant_size_v<cell_message_body>) {
        throw msgpack::type_error();
    } else {
        if (index != Index) {
            return read_kind<Index + 1>(index, from);
        }
        std::variant_alternative_t<Index, cell_message_body> body;
        read_body(from, body);
        return body;
    }
}

cell_envelope read_message(const msgpack::object& from) {
    cell_envelope message;
    field_reader reader(from, message_fields);
    reader.read_into(message.cell);
    reader.read_into(message.from);
    reader.read_into(message.incarnation);
    reader.read_into(message.address);
    const auto kind = reader.next<std::size_t>();
    message.body = read_kind(kind, reader.next_object());
    return message;
}

} // namespace

std::string encode(const std::vector<cell_envelope>& messages) {
    msgpack::sbuffer buf;
    packer pack(buf);
    pack.pack_array(static_cast<std::uint32_t>(messages.size()) + 1);
    pack.pack(codec_version);
    for (const auto& it : messages) {
        pack.pack_array(message_fields);
        pack.pack(it.cell);
        pack.pack(it.from);
        pack.pack(it.incarnation);
        pack.pack(it.address);
        pack.pack(it.body.index());
        std::visit(body_packer{pack}, it.body);
    }
    return {buf.data(), buf.size()};
}

result<std::vector<cell_envelope>> decode_cell_messages(std::string_view bytes) {
    try {
        const msgpack::unpack_limit limits(max_cell_elements, max_cell_elements, max_cell_bytes,
                                           max_cell_bytes, 0, max_cell_depth);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
        const auto& root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size == 0 ||
            root.via.array.ptr[0].as<std::uint32_t>() != codec_version) {
            return make_error(error_kind::protocol_violation, "cell messages of another version");
        }
        std::vector<cell_envelope> messages;
        messages.reserve(root.via.array.size);
        for (std::uint32_t it = 1; it < root.via.array.size; ++it) {
            messages.push_back(read_message(root.via.array.ptr[it]));
        }
        return messages;
    } catch (const std::exception& ec) {
        return make_error(error_kind::protocol_violation,
                          std::string("cell messages of the wrong form: ") + ec.what());
    }
}

} // namespace skylarkseam
