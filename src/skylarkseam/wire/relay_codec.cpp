#include <skylarkseam/wire/http_syntax.hpp>
#include <skylarkseam/wire/msgpack_message.hpp>
#include <skylarkseam/wire/relay_codec.hpp>

#include <algorithm>
#include <stdexcept>

namespace skylarkseam {
namespace {

constexpr std::uint32_t request_fields = 8;
constexpr std::uint32_t decision_fields = 2;
constexpr std::uint32_t answer_fields = 4;
constexpr std::uint32_t report_fields = 2;
constexpr std::uint32_t header_fields = 2;
constexpr std::uint32_t question_fields = 1;
constexpr std::uint32_t offer_fields = 2;
constexpr std::uint32_t peer_fields = 2;
constexpr int first_final_status = 200;

void pack_headers(packer& to, const std::vector<header_field>& headers) {
    pack_list(to, headers, [&](const header_field& it) {
        to.pack_array(header_fields);
        to.pack(it.name);
        to.pack(it.value);
    });
}

/// Throws where a client could not take the answer for one: another build may pass on what it got.
void check_answer(const gateway_answer::relayed& answer) {
    if (!is_status(answer.status) || answer.status < first_final_status) {
        throw std::invalid_argument("status " + std::to_string(answer.status));
    }
    if (!is_field_value(answer.content_type)) {
        throw std::invalid_argument("the content type holds a control byte");
    }
    head_check check;
    for (const auto& it : answer.headers) {
        if (const auto fault = check.take_field(it.name, it.value); !fault.empty()) {
            throw std::invalid_argument(fault);
        }
    }
}

std::vector<header_field> read_headers(field_reader& from) {
    return read_list(from.next_object(), header_fields, [](field_reader& reader) {
        header_field it;
        reader.read_into(it.name);
        reader.read_into(it.value);
        return it;
    });
}

} // namespace

std::string encode(const relay_request& request) {
    return encode_message(request_fields, [&](packer& to) {
        to.pack(request.config_version);
        to.pack(request.time_left.count());
        to.pack(request.max_attempts);
        to.pack(request.method);
        to.pack(request.target);
        to.pack(request.path);
        pack_headers(to, request.headers);
        to.pack(request.body);
    });
}

std::string encode(const relay_decision& decision) {
    return encode_message(decision_fields, [&](packer& to) {
        to.pack(decision.accepted);
        to.pack(decision.reason);
    });
}

std::string encode(const gateway_answer::relayed& answer) {
    return encode_message(answer_fields,
                          [&](packer& to) {
                              to.pack(answer.status);
                              to.pack(answer.content_type);
                              pack_headers(to, answer.headers);
                              to.pack(answer.body);
                          }) +
           encode_message(report_fields, [&](packer& to) {
               to.pack(static_cast<std::uint32_t>(answer.report.ran));
               to.pack(static_cast<std::uint32_t>(answer.report.source));
           });
}

result<relay_request> decode_relay_request(std::string_view bytes) {
    return decode_message<relay_request>(bytes, request_fields, [](field_reader& from) {
        relay_request it;
        from.read_into(it.config_version);
        it.time_left = std::max(duration::zero(), from.next_duration());
        from.read_into(it.max_attempts);
        from.read_into(it.method);
        from.read_into(it.target);
        from.read_into(it.path);
        it.headers = read_headers(from);
        from.read_into(it.body);
        return it;
    });
}

result<relay_decision> decode_relay_decision(std::string_view bytes) {
    return decode_message<relay_decision>(bytes, decision_fields, [](field_reader& from) {
        relay_decision it;
        from.read_into(it.accepted);
        from.read_into(it.reason);
        return it;
    });
}

result<gateway_answer::relayed> decode_relayed_answer(std::string_view bytes) {
    auto answer = take_message<gateway_answer::relayed>(bytes, answer_fields, [](field_reader& from) {
        gateway_answer::relayed it;
        from.read_into(it.status);
        from.read_into(it.content_type);
        it.headers = read_headers(from);
        from.read_into(it.body);
        check_answer(it);
        return it;
    });
    if (!answer || bytes.empty()) {
        return answer; // A build that appends no report leaves it unstated.
    }
    const auto report = take_message<execution_report>(bytes, report_fields, [](field_reader& from) {
        const auto state = from.next_enum(run_state::unknown);
        return execution_report{state, from.next_enum(execution_source::searcher)};
    });
    if (!report) {
        return report.error();
    }
    answer.value().report = report.value();
    return answer;
}

std::string encode(const relay_question& question) {
    return encode_message(question_fields, [&](packer& to) { to.pack(question.config_version); });
}

std::string encode(const relay_offer& offer) {
    return encode_message(offer_fields, [&](packer& to) {
        to.pack(offer.takes);
        pack_list(to, offer.others, [&](const relay_peer& it) {
            to.pack_array(peer_fields);
            to.pack(it.address);
            to.pack(it.zone);
        });
    });
}

result<relay_question> decode_relay_question(std::string_view bytes) {
    return decode_message<relay_question>(bytes, question_fields, [](field_reader& from) {
        relay_question it;
        from.read_into(it.config_version);
        return it;
    });
}

result<relay_offer> decode_relay_offer(std::string_view bytes) {
    return decode_message<relay_offer>(bytes, offer_fields, [](field_reader& from) {
        relay_offer it;
        from.read_into(it.takes);
        it.others = read_list(from.next_object(), peer_fields, [](field_reader& reader) {
            relay_peer peer;
            reader.read_into(peer.address);
            reader.read_into(peer.zone);
            return peer;
        });
        return it;
    });
}

} // namespace skylarkseam
