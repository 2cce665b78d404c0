#include <skylarkseam/wire/caller_json.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

using nlohmann::json;

std::string fraction_text(double value) {
    return json(value).dump();
}

error bad_request_error(const std::string& what) {
    return make_error(error_kind::bad_request, what);
}

result<void> read_limit(const json& from, const caller_limits& limits, query_request& request) {
    if (!from.is_number_unsigned()) {
        return bad_request_error("\"limit\" must be a whole number of 1 or more");
    }
    const auto limit = from.get<std::uint64_t>();
    if (limit < 1 || limit > limits.max_hits) {
        return bad_request_error("\"limit\" must be from 1 to " + std::to_string(limits.max_hits));
    }
    request.limit = static_cast<std::uint32_t>(limit);
    return success();
}

std::string encode_coverage(const coverage& covered) {
    std::string out = R"({"fraction":)" + fraction_text(covered.fraction());
    out += R"(,"searched":)" + std::to_string(covered.searched);
    out += R"(,"total":)" + std::to_string(covered.total);
    out += R"(,"missing":)" + json(covered.missing).dump() + "}";
    return out;
}

} // namespace

result<void> decode_query_body(const std::string& body, const caller_limits& limits, query_request& request) {
    const auto from = json::parse(body, nullptr, false);
    if (from.is_discarded()) {
        return bad_request_error("the body is not valid JSON in UTF-8");
    }
    if (!from.is_object() || !from.contains("query")) {
        return bad_request_error("the body must be an object with a \"query\"");
    }
    for (const auto& [key, value] : from.items()) {
        if (key != "query" && key != "limit") {
            return bad_request_error("the body has an unknown field " + json_text(key));
        }
    }
    request.query_json = from.at("query").dump();
    if (from.contains("limit")) {
        return read_limit(from.at("limit"), limits, request);
    }
    return success();
}

std::string encode_answer(const std::string& request_id, const query_answer& answer,
                          const std::string& receipt_json) {
    std::string out = R"({"request_id":)" + json_text(request_id);
    out += R"(,"snapshot":)" + std::to_string(answer.snapshot);
    out += R"(,"coverage":)" + encode_coverage(answer.covered);
    out += R"(,"hits":[)";
    for (const auto& it : answer.hits) {
        if (out.back() != '[') {
            out += ',';
        }
        out += it.json;
    }
    out += R"(],"receipt":)" + receipt_json + "}";
    return out;
}

std::string encode_blank_answer(const query_answer& answer) {
    return encode_answer({}, answer, "{}");
}

std::string complete_answer(const std::string& blank, const std::string& request_id,
                            const std::string& receipt_json) {
    constexpr std::string_view blank_prefix = R"({"request_id":"")";
    constexpr std::string_view blank_suffix = "{}}";
    if (!blank.starts_with(blank_prefix) || !blank.ends_with(blank_suffix)) {
        return blank;
    }
    const auto middle =
        blank.substr(blank_prefix.size(), blank.size() - blank_prefix.size() - blank_suffix.size());
    return R"({"request_id":)" + json_text(request_id) + middle + receipt_json + "}";
}

std::string encode_error(const error& fault) {
    std::string out = R"({"error":")" + std::string(name_of(fault.kind));
    out += R"(","ran":")" + std::string(name_of(fault.ran));
    out += R"(","detail":)" + json_text(fault.detail) + "}";
    return out;
}

std::string json_text(const std::string& text) {
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace skylarkseam
