#include "standin/upstream_load.hpp"

#include "standin/curl_body.hpp"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace skylarkseam::standin {
namespace {

constexpr long read_timeout_ms = 5000;

std::string get(const std::string& url) {
    std::string body;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, read_timeout_ms);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    if (curl_easy_perform(easy.get()) != CURLE_OK) {
        throw std::runtime_error("cannot read " + url);
    }
    return body;
}

} // namespace

upstream_load read_upstream_load(const std::string& control_address) {
    const auto records = nlohmann::json::parse(get("http://" + control_address + "/record?runs=0"));
    upstream_load sum;
    std::map<std::string, std::uint64_t> runs_by_key;
    for (const auto& it : records.at("items")) {
        const auto& counters = it.at("counters");
        sum.started += counters.at("started").get<std::uint64_t>();
        sum.shed += counters.at("shed").get<std::uint64_t>();
        sum.cancelled_running += counters.at("cancelled_running").get<std::uint64_t>();
        sum.cold_violations += counters.at("cold_violations").get<std::uint64_t>();
        sum.cold_violations_after_sign += counters.at("cold_violations_after_sign").get<std::uint64_t>();
        sum.arrivals_while_out += counters.at("arrivals_while_out").get<std::uint64_t>();
        for (const auto& [key, runs] : it.at("runs_by_key").items()) {
            runs_by_key[key] += runs.get<std::uint64_t>();
        }
    }
    for (const auto& [key, runs] : runs_by_key) {
        sum.most_runs_of_a_key = std::max(sum.most_runs_of_a_key, runs);
    }
    return sum;
}

upstream_load difference(const upstream_load& later, const upstream_load& earlier) {
    return {later.started - earlier.started,
            later.shed - earlier.shed,
            later.cancelled_running - earlier.cancelled_running,
            later.cold_violations - earlier.cold_violations,
            later.cold_violations_after_sign - earlier.cold_violations_after_sign,
            later.arrivals_while_out - earlier.arrivals_while_out,
            later.most_runs_of_a_key};
}

} // namespace skylarkseam::standin
