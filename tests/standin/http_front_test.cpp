// The stand-ins over real sockets on loopback: answers that come later, encoded names, faults and kills.
#include "standin/curl_body.hpp"
#include "standin/platform.hpp"
#include "standin/searcher.hpp"

#include <boost/test/unit_test.hpp>
#include <curl/curl.h>

#include <memory>
#include <optional>

using namespace skylarkseam;
using namespace skylarkseam::standin;

namespace {

constexpr int most_rounds = 5000;

struct client_answer {
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string body;
};

/// A client that takes turns with the loop of the stand-in under test.
struct fixture {
    using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

    http_loop loop;
    CURLM* multi = curl_multi_init();

    fixture() = default;
    ~fixture() { curl_multi_cleanup(multi); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    client_answer send(const std::string& method, const std::string& url, const std::string& body = "",
                       const std::vector<std::string>& headers = {}) {
        client_answer answer;
        const easy_handle easy(curl_easy_init(), curl_easy_cleanup);
        curl_slist* list = nullptr;
        for (const auto& it : headers) {
            list = curl_slist_append(list, it.c_str());
        }
        curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
        if (!body.empty()) {
            curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
        }
        curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append_body);
        curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &answer.body);
        answer.code = transfer(easy.get());
        curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &answer.status);
        curl_slist_free_all(list);
        return answer;
    }

    CURLcode transfer(CURL* easy) {
        curl_multi_add_handle(multi, easy);
        std::optional<CURLcode> code;
        for (int round = 0; round < most_rounds && !code; ++round) {
            int running = 0;
            curl_multi_perform(multi, &running);
            loop.run_once(milliseconds(1));
            int left = 0;
            if (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
                code = message->data.result;
            }
        }
        curl_multi_remove_handle(multi, easy);
        return code.value_or(CURLE_OPERATION_TIMEDOUT);
    }
};

struct platform_fixture : fixture {
    platform service{loop, {}};
    std::string url = "http://" + service.address();

    client_answer create(const std::string& path) {
        return send("PUT", url + path, R"({"value":1})", {"If-None-Match: *"});
    }
};

struct searcher_fixture : fixture {
    static searcher_options options() {
        searcher_options it;
        it.name = "s";
        it.shards = {0};
        return it;
    }
    searcher_front searcher{loop, options(), 0};
    std::string url = "http://" + searcher.address();

    client_answer search() {
        return send("POST", url + "/search", R"({"query":"iron"})",
                    {"X-Request-Id: r", "X-Shard: 0", "X-Snapshot: 1"});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(over_http)

BOOST_FIXTURE_TEST_SUITE(the_platform, platform_fixture)

BOOST_AUTO_TEST_CASE(keeps_a_name_with_an_encoded_slash_as_one_name) {
    BOOST_TEST(create("/objects/k/a%2Fb").status == 201);
    BOOST_TEST(create("/objects/k/a%2Fb").status == 412);
    BOOST_TEST(send("GET", url + "/objects/k").body.find(R"("name":"a/b")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ends_a_watch_without_changes_at_its_timeout) {
    const auto answer = send("GET", url + "/objects/k?watch=0&timeout_ms=20");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find(R"("items":[])") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(loses_the_answer_to_a_change_that_took_effect) {
    send("POST", url + "/faults", R"({"lose_answers":true})");
    BOOST_TEST(create("/objects/k/a").code != CURLE_OK);
    BOOST_TEST(send("GET", url + "/objects/k/a").status == 200);
}

BOOST_AUTO_TEST_CASE(refuses_calls_while_it_is_down_but_counts_them) {
    send("POST", url + "/faults", R"({"down":true})");
    BOOST_TEST(create("/objects/k/a").status == 503);
    BOOST_TEST(send("GET", url + "/calls").body.find(R"("PUT":1)") != std::string::npos);
    send("POST", url + "/faults", R"({"down":false})");
    BOOST_TEST(create("/objects/k/a").status == 201);
}

BOOST_AUTO_TEST_CASE(answers_400_to_a_body_that_is_not_json) {
    BOOST_TEST(send("PUT", url + "/objects/k/a", "{", {"If-None-Match: *"}).status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_searcher, searcher_fixture)

BOOST_AUTO_TEST_CASE(answers_when_the_service_time_has_passed) {
    const auto answer = search();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find(R"("request_id":"r")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(cuts_connections_while_it_is_killed_and_returns_cold) {
    search();
    front_request control;
    control.method = "POST";
    control.segments = {"control"};
    control.body = R"({"kill":true})";
    BOOST_TEST(searcher.operate(control).status == 200);
    BOOST_TEST(search().code != CURLE_OK);
    control.body = R"({"kill":false})";
    BOOST_TEST(searcher.operate(control).status == 200);
    BOOST_TEST(send("GET", url + "/health").body.find(R"("state":"cold")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
