#include <skylarkseam/wire/gateway_codec.hpp>
#include <skylarkseam/wire/msgpack_message.hpp>

namespace skylarkseam {
namespace {

constexpr std::uint32_t view_fields = 4;
constexpr std::uint32_t identity_fields = 3;
constexpr std::uint32_t group_member_fields = 2;
constexpr std::uint32_t zone_fields = 3;
constexpr std::uint32_t position_fields = 4;
constexpr std::uint32_t request_fields = 3;
constexpr std::uint32_t reply_fields = 2;
constexpr std::uint32_t searchers_request_fields = 4;
constexpr std::uint32_t update_fields = 9;
constexpr std::uint32_t registration_fields = 4;
constexpr std::uint32_t record_fields = 8;
constexpr std::uint32_t evacuation_fields = 3;
constexpr std::uint32_t routing_fields = 2;

void pack(packer& to, const gateway_identity& it) {
    to.pack_array(identity_fields);
    to.pack(it.name);
    to.pack(it.zone);
    to.pack(it.address);
}

gateway_identity read_identity(field_reader& from) {
    gateway_identity it;
    from.read_into(it.name);
    from.read_into(it.zone);
    from.read_into(it.address);
    return it;
}

void pack(packer& to, const group_view& it) {
    to.pack_array(view_fields);
    pack(to, it.sender);
    to.pack(it.leaving);
    pack_list(to, it.members, [&](const auto& member) {
        to.pack_array(group_member_fields);
        pack(to, member.who);
        to.pack(member.age.count());
    });
    to.pack_array(static_cast<std::uint32_t>(it.hosts_of_zone.size()));
    for (const auto& [zone, counted] : it.hosts_of_zone) {
        to.pack_array(zone_fields);
        to.pack(zone);
        to.pack(counted.hosts);
        to.pack(counted.age.count());
    }
}

group_view read_view(const msgpack::object& from) {
    field_reader fields(from, view_fields);
    group_view it;
    field_reader sender(fields.next_object(), identity_fields);
    it.sender = read_identity(sender);
    fields.read_into(it.leaving);
    it.members = read_list(fields.next_object(), group_member_fields, [](field_reader& reader) {
        group_member seen;
        field_reader who(reader.next_object(), identity_fields);
        seen.who = read_identity(who);
        seen.age = reader.next_duration();
        return seen;
    });
    const auto zones = read_list(fields.next_object(), zone_fields, [](field_reader& reader) {
        std::pair<std::string, zone_host_count> zone;
        reader.read_into(zone.first);
        reader.read_into(zone.second.hosts);
        zone.second.age = reader.next_duration();
        return zone;
    });
    it.hosts_of_zone.insert(zones.begin(), zones.end());
    return it;
}

void pack(packer& to, const searcher_record& it) {
    to.pack_array(record_fields);
    to.pack(it.id);
    to.pack(it.service);
    to.pack(it.address);
    to.pack(it.zone);
    to.pack(it.slots);
    to.pack(it.draining);
    to.pack(it.cold_for.count());
    to.pack(it.started_at);
}

searcher_record read_record(const msgpack::object& from) {
    field_reader fields(from, record_fields);
    searcher_record it;
    fields.read_into(it.id);
    fields.read_into(it.service);
    fields.read_into(it.address);
    fields.read_into(it.zone);
    fields.read_into(it.slots);
    fields.read_into(it.draining);
    it.cold_for = fields.next_duration();
    fields.read_into(it.started_at);
    return it;
}

void pack(packer& to, const registration& it) {
    to.pack_array(registration_fields);
    to.pack(it.id);
    to.pack(it.revision);
    to.pack(it.store_was_away);
    if (it.record) {
        pack(to, *it.record);
    } else {
        to.pack_nil();
    }
}

registration read_registration(field_reader& from) {
    registration it;
    from.read_into(it.id);
    from.read_into(it.revision);
    from.read_into(it.store_was_away);
    const auto& record = from.next_object();
    if (!record.is_nil()) {
        it.record = read_record(record);
    }
    return it;
}

void pack(packer& to, const replica_update& it) {
    to.pack_array(update_fields);
    to.pack(it.epoch);
    to.pack(it.sequence);
    to.pack(it.incarnation);
    to.pack(it.full);
    to.pack(it.revisions);
    pack_list(to, it.registrations, [&](const auto& one) { pack(to, one); });
    pack_list(to, it.evacuations, [&](const auto& one) {
        to.pack_array(evacuation_fields);
        to.pack(one.zone);
        to.pack(one.revision);
        to.pack(one.active);
    });
    if (it.routing) {
        to.pack_array(routing_fields);
        to.pack(it.routing->version);
        to.pack(it.routing->text);
    } else {
        to.pack_nil();
    }
    to.pack(it.age.count());
}

replica_update read_update(const msgpack::object& from) {
    field_reader fields(from, update_fields);
    replica_update it;
    fields.read_into(it.epoch);
    fields.read_into(it.sequence);
    fields.read_into(it.incarnation);
    fields.read_into(it.full);
    fields.read_into(it.revisions);
    it.registrations = read_list(fields.next_object(), registration_fields, &read_registration);
    it.evacuations = read_list(fields.next_object(), evacuation_fields, [](field_reader& reader) {
        evacuation one;
        reader.read_into(one.zone);
        reader.read_into(one.revision);
        reader.read_into(one.active);
        return one;
    });
    const auto& routing = fields.next_object();
    if (!routing.is_nil()) {
        field_reader source(routing, routing_fields);
        it.routing.emplace();
        source.read_into(it.routing->version);
        source.read_into(it.routing->text);
    }
    it.age = fields.next_duration();
    return it;
}

} // namespace

std::string encode(const group_view& view) {
    return encode_message(1, [&](packer& to) { pack(to, view); });
}

std::string encode(const follow_request& request) {
    return encode_message(request_fields, [&](packer& to) {
        pack(to, request.view);
        to.pack_array(position_fields);
        to.pack(request.position.epoch);
        to.pack(request.position.sequence);
        to.pack(request.position.routing_version);
        to.pack(request.position.incarnation);
        to.pack(request.wait.count());
    });
}

std::string encode(const follow_reply& reply) {
    return encode_message(reply_fields, [&](packer& to) {
        pack(to, reply.view);
        pack(to, reply.update);
    });
}

std::string encode(const searchers_request& request) {
    return encode_message(searchers_request_fields, [&](packer& to) {
        pack(to, request.sender);
        to.pack(request.position.revision);
        to.pack(request.position.incarnation);
        to.pack(request.wait.count());
    });
}

std::string encode(const replica_update& update) {
    return encode_message(1, [&](packer& to) { pack(to, update); });
}

result<group_view> decode_group_view(std::string_view bytes) {
    return decode_message<group_view>(bytes, 1,
                                      [](field_reader& from) { return read_view(from.next_object()); });
}

result<follow_request> decode_follow_request(std::string_view bytes) {
    return decode_message<follow_request>(bytes, request_fields, [](field_reader& from) {
        follow_request it;
        it.view = read_view(from.next_object());
        field_reader position(from.next_object(), position_fields);
        position.read_into(it.position.epoch);
        position.read_into(it.position.sequence);
        position.read_into(it.position.routing_version);
        position.read_into(it.position.incarnation);
        it.wait = from.next_duration();
        return it;
    });
}

result<follow_reply> decode_follow_reply(std::string_view bytes) {
    return decode_message<follow_reply>(bytes, reply_fields, [](field_reader& from) {
        follow_reply it;
        it.view = read_view(from.next_object());
        it.update = read_update(from.next_object());
        return it;
    });
}

result<searchers_request> decode_searchers_request(std::string_view bytes) {
    return decode_message<searchers_request>(bytes, searchers_request_fields, [](field_reader& from) {
        searchers_request it;
        field_reader sender(from.next_object(), identity_fields);
        it.sender = read_identity(sender);
        from.read_into(it.position.revision);
        from.read_into(it.position.incarnation);
        it.wait = from.next_duration();
        return it;
    });
}

result<replica_update> decode_replica_update(std::string_view bytes) {
    return decode_message<replica_update>(bytes, 1,
                                          [](field_reader& from) { return read_update(from.next_object()); });
}

} // namespace skylarkseam
