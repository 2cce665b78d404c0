#include <skylarkseam/wire/msgpack_message.hpp>
#include <skylarkseam/wire/suspect_codec.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr std::uint32_t message_fields = 3;
constexpr std::uint32_t report_fields = 3;
constexpr std::uint32_t end_fields = 2;
constexpr std::int64_t no_answer = -1; ///< Stands for a request that no searcher has answered

duration read_age(field_reader& from) {
    return std::max(duration::zero(), from.next_duration());
}

suspect_report read_report(field_reader& from) {
    suspect_report it;
    from.read_into(it.fingerprint);
    it.ends = read_list(from.next_object(), end_fields, [](field_reader& reader) {
        suspect_report::end end;
        reader.read_into(end.searcher);
        end.age = read_age(reader);
        return end;
    });
    const auto answered = from.next<std::int64_t>();
    if (answered > no_answer) {
        it.answered = duration(answered);
    }
    return it;
}

} // namespace

std::string encode(const suspect_message& message) {
    return encode_message(message_fields, [&](packer& to) {
        to.pack(message.sender);
        to.pack(message.ask);
        pack_list(to, message.reports, [&](const suspect_report& it) {
            to.pack_array(report_fields);
            to.pack(it.fingerprint);
            pack_list(to, it.ends, [&](const suspect_report::end& end) {
                to.pack_array(end_fields);
                to.pack(end.searcher);
                to.pack(end.age.count());
            });
            to.pack(it.answered ? it.answered->count() : no_answer);
        });
    });
}

result<suspect_message> decode_suspect_message(std::string_view bytes) {
    return decode_message<suspect_message>(bytes, message_fields, [](field_reader& from) {
        suspect_message it;
        from.read_into(it.sender);
        from.read_into(it.ask);
        it.reports = read_list(from.next_object(), report_fields, &read_report);
        return it;
    });
}

} // namespace skylarkseam
