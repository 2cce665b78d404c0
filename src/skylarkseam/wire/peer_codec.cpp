#include <skylarkseam/wire/msgpack_message.hpp>
#include <skylarkseam/wire/peer_codec.hpp>

namespace skylarkseam {
namespace {

constexpr std::uint32_t subquery_fields = 4;
constexpr std::uint32_t hit_fields = 3;
constexpr std::uint32_t held_shard_fields = 2;

void pack_subquery(packer& pack, const subquery& it) {
    pack.pack_array(subquery_fields);
    pack.pack(it.shard);
    pack.pack(it.attempt);
    pack.pack(it.searcher);
    pack.pack(it.extra);
}

subquery read_subquery(field_reader& from) {
    subquery it;
    it.shard = from.next<shard_id>();
    it.attempt = from.next<std::uint32_t>();
    it.searcher = from.next<std::string>();
    it.extra = from.next<bool>();
    return it;
}

hit read_hit(field_reader& from) {
    hit it;
    it.id = from.next<std::string>();
    it.score = from.next<double>();
    it.json = from.next<std::string>();
    return it;
}

constexpr std::uint32_t status_fields = 6;

void pack_status(packer& pack, const searcher_status& it) {
    pack.pack_array(status_fields);
    pack.pack(it.searcher);
    pack.pack(it.takes_work);
    pack.pack(it.slots);
    pack.pack(it.in_flight);
    pack.pack(it.queued);
    pack_list(pack, it.shards, [&](const auto& held) {
        pack.pack_array(held_shard_fields);
        pack.pack(held.shard);
        pack.pack(held.snapshots);
    });
}

searcher_status read_status(field_reader& from) {
    searcher_status it;
    it.searcher = from.next<std::string>();
    it.takes_work = from.next<bool>();
    it.slots = from.next<std::uint32_t>();
    it.in_flight = from.next<std::uint32_t>();
    it.queued = from.next<std::uint32_t>();
    it.shards = read_list(from.next_object(), held_shard_fields, [](field_reader& held) {
        searcher_status::held_shard shard;
        shard.shard = held.next<shard_id>();
        shard.snapshots = held.next<std::vector<snapshot_id>>();
        return shard;
    });
    return it;
}

constexpr std::uint32_t batch_fields = 11;
constexpr std::uint32_t cancel_fields = 3;
constexpr std::uint32_t reply_fields = 11;

} // namespace

std::string encode(const subquery_batch& batch) {
    return encode_message(batch_fields, [&](packer& pack) {
        pack.pack(batch.query);
        pack.pack(batch.coordinator);
        pack.pack(batch.caller);
        pack.pack(batch.group);
        pack.pack(static_cast<std::uint32_t>(batch.cls));
        pack.pack(batch.snapshot);
        pack.pack(batch.remaining.count());
        pack.pack(batch.query_json);
        pack.pack(batch.limit);
        pack.pack(batch.idempotency_key);
        pack_list(pack, batch.subqueries, [&](const auto& it) { pack_subquery(pack, it); });
    });
}

result<subquery_batch> decode_subquery_batch(std::string_view bytes) {
    return decode_message<subquery_batch>(bytes, batch_fields, [](field_reader& from) {
        subquery_batch batch;
        batch.query = from.next<query_id>();
        batch.coordinator = from.next<std::string>();
        batch.caller = from.next<std::string>();
        batch.group = from.next<std::string>();
        batch.cls = from.next_enum(request_class::deferrable);
        batch.snapshot = from.next<snapshot_id>();
        batch.remaining = from.next_duration();
        batch.query_json = from.next<std::string>();
        batch.limit = from.next<std::uint32_t>();
        batch.idempotency_key = from.next<std::string>();
        batch.subqueries = read_list(from.next_object(), subquery_fields, read_subquery);
        return batch;
    });
}

std::string encode(const subquery_cancel& cancel) {
    return encode_message(cancel_fields, [&](packer& pack) {
        pack.pack(cancel.query);
        pack.pack(cancel.attempts);
        pack.pack(cancel.coordinator);
    });
}

result<subquery_cancel> decode_subquery_cancel(std::string_view bytes) {
    return decode_message<subquery_cancel>(bytes, cancel_fields, [](field_reader& from) {
        subquery_cancel cancel;
        cancel.query = from.next<query_id>();
        cancel.attempts = from.next<std::vector<std::uint32_t>>();
        cancel.coordinator = from.next<std::string>();
        return cancel;
    });
}

std::string encode(const subquery_reply& reply) {
    return encode_message(reply_fields, [&](packer& pack) {
        pack.pack(reply.query);
        pack.pack(reply.attempt);
        pack.pack(reply.shard);
        pack.pack(reply.snapshot);
        pack.pack(static_cast<std::uint32_t>(reply.outcome));
        pack.pack(reply.dispatch_sequence);
        pack.pack(reply.queued.count());
        pack.pack(reply.service.count());
        pack.pack(reply.held);
        pack_list(pack, reply.hits, [&](const auto& it) {
            pack.pack_array(hit_fields);
            pack.pack(it.id);
            pack.pack(it.score);
            pack.pack(it.json);
        });
        pack.pack(reply.detail);
    });
}

result<subquery_reply> decode_subquery_reply(std::string_view bytes) {
    return decode_message<subquery_reply>(bytes, reply_fields, [](field_reader& from) {
        subquery_reply reply;
        reply.query = from.next<query_id>();
        reply.attempt = from.next<std::uint32_t>();
        reply.shard = from.next<shard_id>();
        reply.snapshot = from.next<snapshot_id>();
        reply.outcome = from.next_enum(subquery_outcome::cancelled);
        reply.dispatch_sequence = from.next<std::uint64_t>();
        reply.queued = from.next_duration();
        reply.service = from.next_duration();
        reply.held = from.next<std::vector<snapshot_id>>();
        reply.hits = read_list(from.next_object(), hit_fields, read_hit);
        reply.detail = from.next<std::string>();
        return reply;
    });
}

std::string encode(const std::vector<searcher_status>& status) {
    return encode_message(
        1, [&](packer& pack) { pack_list(pack, status, [&](const auto& it) { pack_status(pack, it); }); });
}

result<std::vector<searcher_status>> decode_searcher_status(std::string_view bytes) {
    return decode_message<std::vector<searcher_status>>(bytes, 1, [](field_reader& from) {
        return read_list(from.next_object(), status_fields, read_status);
    });
}

} // namespace skylarkseam
