#include <skylarkseam/wire/configuration_message_codec.hpp>
#include <skylarkseam/wire/msgpack_message.hpp>

namespace skylarkseam {
namespace {

using namespace configuration_message;

constexpr std::uint32_t message_fields = 2; ///< Number of fields of a message: kind and content.
constexpr std::uint32_t digest_fields = 4;
constexpr std::uint32_t manifest_fields = 4;
constexpr std::uint32_t list_fields = 1;

/// Kind of a message on the wire. The value is the index of the message type in any_configuration_message.
enum class message_kind : std::uint32_t {
    digest,
    manifest_request,
    manifest,
    parts_request,
    parts,
    peers_request,
    peers,
};

void pack_content(packer& pack, const digest& it) {
    pack.pack_array(digest_fields);
    pack.pack(it.node);
    pack.pack(it.address);
    pack.pack(it.generation);
    pack.pack(it.hash);
}

void pack_content(packer& pack, const manifest& it) {
    pack.pack_array(manifest_fields);
    pack.pack(it.generation);
    pack.pack(it.token);
    pack.pack(it.hash);
    pack.pack(it.parts);
}

void pack_list(packer& pack, const std::vector<std::string>& list) {
    pack.pack_array(list_fields);
    pack.pack(list);
}

void pack_content(packer& pack, const parts_request& it) {
    pack_list(pack, it.parts);
}
void pack_content(packer& pack, const parts& it) {
    pack_list(pack, it.texts);
}
void pack_content(packer& pack, const peers& it) {
    pack_list(pack, it.addresses);
}
void pack_content(packer& pack, const manifest_request& /*it*/) {
    pack.pack_array(0);
}
void pack_content(packer& pack, const peers_request& /*it*/) {
    pack.pack_array(0);
}

digest read_digest(const msgpack::object& content) {
    field_reader from(content, digest_fields);
    digest it;
    it.node = from.next<std::string>();
    it.address = from.next<std::string>();
    it.generation = from.next<generation_id>();
    it.hash = from.next<std::string>();
    return it;
}

manifest read_manifest(const msgpack::object& content) {
    field_reader from(content, manifest_fields);
    manifest it;
    it.generation = from.next<generation_id>();
    it.token = from.next<std::string>();
    it.hash = from.next<std::string>();
    it.parts = from.next<std::vector<std::string>>();
    return it;
}

std::vector<std::string> read_strings(const msgpack::object& content) {
    return field_reader(content, list_fields).next<std::vector<std::string>>();
}

any_configuration_message read_content(message_kind kind, const msgpack::object& content) {
    switch (kind) {
    case message_kind::digest:
        return read_digest(content);
    case message_kind::manifest_request:
        return manifest_request{};
    case message_kind::manifest:
        return read_manifest(content);
    case message_kind::parts_request:
        return parts_request{read_strings(content)};
    case message_kind::parts:
        return parts{read_strings(content)};
    case message_kind::peers_request:
        return peers_request{};
    case message_kind::peers:
        break;
    }
    return peers{read_strings(content)};
}

} // namespace

std::string encode(const any_configuration_message& message) {
    return encode_message(message_fields, [&](packer& pack) {
        pack.pack(static_cast<std::uint32_t>(message.index()));
        std::visit([&](const auto& it) { pack_content(pack, it); }, message);
    });
}

result<any_configuration_message> decode_configuration_message(std::string_view bytes) {
    return decode_message<any_configuration_message>(bytes, message_fields, [](field_reader& from) {
        const auto kind = from.next_enum(message_kind::peers);
        return read_content(kind, from.next_object());
    });
}

} // namespace skylarkseam
