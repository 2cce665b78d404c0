#include <skylarkseam/control/configuration_head.hpp>
#include <skylarkseam/core/content_hash.hpp>

namespace skylarkseam {
namespace {

error invalid(std::string text) {
    return make_error(error_kind::invalid_configuration, std::move(text));
}

platform_request read_piece_request(const std::string& name) {
    platform_request request;
    request.method = platform_method::get;
    request.kind = configuration_piece_kind;
    request.name = name;
    return request;
}

} // namespace

platform_request read_head_request() {
    platform_request request;
    request.method = platform_method::get;
    request.kind = configuration_kind;
    request.name = configuration_name;
    return request;
}

std::vector<std::string> split_into_pieces(std::string_view body) {
    std::vector<std::string> pieces;
    for (std::size_t offset = 0; offset < body.size(); offset += configuration_piece_bytes) {
        pieces.emplace_back(body.substr(offset, configuration_piece_bytes));
    }
    return pieces;
}

body_collector::body_collector(configuration_head head)
    : head_(std::move(head)) {}

std::vector<platform_request> body_collector::take_requests() {
    std::vector<platform_request> requests;
    if (requested_) {
        return requests;
    }
    requested_ = true;
    std::map<std::string, bool> requested_names;
    for (const auto& it : head_.pieces) {
        if (requested_names.emplace(it, true).second) {
            requests.push_back(read_piece_request(it));
        }
    }
    return requests;
}

result<void> body_collector::add(const platform_response& answer, const configuration_codec& codec) {
    if (answer.status != platform_status::ok || answer.objects.size() != 1) {
        return make_error(error_kind::platform_unavailable,
                          "a piece of the configuration cannot be read from the platform");
    }
    const auto& object = answer.objects.front();
    auto text = codec.decode_piece(object.value_json);
    if (text.has_error()) {
        return text.error();
    }
    if (content_hash(text.value()) != object.name) {
        return invalid("a piece of the configuration does not match its hash");
    }
    texts_[object.name] = std::move(text.value());
    return success();
}

std::optional<std::string> body_collector::body() const {
    std::string joined = head_.body;
    for (const auto& it : head_.pieces) {
        const auto found = texts_.find(it);
        if (found == texts_.end()) {
            return std::nullopt;
        }
        joined += found->second;
    }
    return joined;
}

} // namespace skylarkseam
