#include <skylarkseam/wire/platform_json.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

using nlohmann::json;

platform_status status_of(int http_status) {
    switch (http_status) {
    case 200:
    case 201:
    case 204:
        return platform_status::ok;
    case 404:
        return platform_status::not_found;
    case 410:
        return platform_status::version_too_old;
    case 412:
        return platform_status::conflict;
    case 413:
        return platform_status::too_large;
    case 429:
        return platform_status::throttled;
    default:
        return platform_status::unavailable;
    }
}

platform_object read_object(const json& from) {
    platform_object object;
    object.kind = from.at("kind").get<std::string>();
    object.name = from.at("name").get<std::string>();
    object.version = from.at("version").get<std::string>();
    object.deleted = from.value("deleted", false);
    if (from.contains("value")) {
        object.value_json = from.at("value").dump();
    }
    return object;
}

void read_hosts(const json& from, platform_response& into) {
    for (const auto& it : from.at("items")) {
        platform_host host;
        host.host = it.at("host").get<std::string>();
        host.zone = it.at("availability_zone").get<std::string>();
        host.leaving = it.at("state").get<std::string>() == "leaving";
        into.hosts.push_back(std::move(host));
    }
}

void read_body(platform_method method, const json& from, platform_response& into) {
    switch (method) {
    case platform_method::list_hosts:
        read_hosts(from, into);
        break;
    case platform_method::list:
    case platform_method::watch:
        into.version = from.at("version").get<std::string>();
        for (const auto& it : from.at("items")) {
            into.objects.push_back(read_object(it));
        }
        break;
    case platform_method::get:
    case platform_method::create:
    case platform_method::update:
        into.objects.push_back(read_object(from));
        into.version = into.objects.front().version;
        break;
    case platform_method::remove:
        break;
    }
}

} // namespace

std::string percent_encoded(const std::string& text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string out;
    for (const char it : text) {
        if (plain.find(it) != std::string_view::npos) {
            out.push_back(it);
            continue;
        }
        const auto byte = static_cast<unsigned char>(it);
        out.push_back('%');
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 15U]);
    }
    return out;
}

platform_response decode_platform_answer(platform_method method, int http_status, const std::string& body) {
    platform_response response;
    response.status = status_of(http_status);
    if (response.status != platform_status::ok) {
        response.detail = "the platform answered " + std::to_string(http_status);
        return response;
    }
    try {
        if (method != platform_method::remove) {
            read_body(method, json::parse(body), response);
        }
    } catch (const json::exception& ec) {
        response = platform_response{};
        response.detail = std::string("the platform's answer has the wrong shape: ") + ec.what();
    }
    return response;
}

} // namespace skylarkseam
