// What an adapter to a platform supplies to a gateway: the protocol's names, and how the store is read.
#pragma once

#include <skylarkseam/gateway/http_dialect.hpp>
#include <skylarkseam/gateway/store_follower.hpp>
#include <skylarkseam/gateway/suspect_store.hpp>

#include <functional>
#include <string>

namespace skylarkseam {

struct platform_binding {
    http_dialect dialect;
    /// Path and query of a call to the store.
    std::function<std::string(const store_call& call)> target_of;
    /// Decodes the store's answer; status 0 stands for none.
    std::function<store_answer(const store_call& call, int status, const std::string& body,
                               const std::string& detail, const std::string& incarnation)>
        read_answer;
    /// Decodes a configuration that another gateway sent as it stands in the store.
    std::function<store_value(const std::string& text)> read_routing;
    /// A call about requests that crash searchers.
    std::function<store_request(const suspect_store_call& call)> request_of;
    /// Decodes the store's answer; status 0 stands for none.
    std::function<suspect_store_answer(const suspect_store_call& call, int status, const std::string& body)>
        read_suspects;
};

} // namespace skylarkseam
