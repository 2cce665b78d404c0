// Requests that the HTTP library ends by itself, with and without a word to the server, and clients that
// leave at each point of a request: whatever is within the limits is answered at once, and nothing that
// remains of such a request reaches the connection of another client. A connection of the same number was
// once answered with 408 and closed while its request was running.
#include <skylarkseam/shell/http_server.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <cerrno>
#include <memory>
#include <sys/socket.h>
#include <tests/shell/loop_fixture.hpp>
#include <unistd.h>
#include <vector>

using namespace skylarkseam;

namespace {

constexpr duration header_timeout = seconds(3);
constexpr int answer_turns = 100; ///< Turns of the loop within which a request is answered or refused

std::string repeated(std::size_t n, const std::string& text) {
    std::string out;
    for (std::size_t it = 0; it < n; ++it) {
        out += text;
    }
    return out;
}

std::string get(const std::string& target, const std::string& fields = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

struct request_shape {
    const char* name;
    std::string bytes;
};

/// Heads of up to 16 KB.
const std::vector<request_shape> served_shapes{
    {"a hundred arguments", get("/x?" + repeated(100, "id=0000&"))},
    {"six hundred arguments", get("/x?" + repeated(600, "id=0000&"))},
    {"two thousand arguments", get("/x?" + repeated(2000, "id=0000&"))},
    {"arguments without a name", get("/x?" + repeated(16'000, "&"))},
    {"arguments without a value", get("/x?" + repeated(8'000, "a&"))},
    {"percent signs in arguments", get("/x?a=" + repeated(5'000, "%41"))},
    {"percent signs in the path", get("/" + repeated(5'000, "%41"))},
    {"one long field", get("/x", "X-A: " + std::string(14'000, 'a') + "\r\n")},
    {"two hundred fields", get("/x", repeated(200, "X-A: b\r\n"))},
    {"two hundred cookies", get("/x", "Cookie: " + repeated(200, "a=b; ") + "\r\n")},
};

const std::vector<request_shape> refused_shapes{
    {"two thousand fields", get("/x", repeated(2'000, "X-A: b\r\n"))},
    {"two thousand cookies", get("/x", "Cookie: " + repeated(2'000, "a=b; ") + "\r\n")},
    {"fields without an end", "GET /x HTTP/1.1\r\nHost: a\r\n" + repeated(20'000, "X-A: b\r\n")},
    {"a field without a colon", "GET /x HTTP/1.1\r\nnocolon\r\n\r\n"},
    {"no version", "GET /x\r\n\r\n"},
    {"another version", "GET /x HTTP/3.9\r\nHost: a\r\n\r\n"},
    {"a length that is no number", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\n"},
    {"a chunk without a size", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
    {"trailers without an end",
     "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + repeated(20'000, "T: 1\r\n")},
};

/// Not complete: the client stays silent after them, or leaves.
const std::vector<request_shape> unfinished_shapes{
    {"nothing", ""},
    {"a part of the first line", "GET /x"},
    {"a first line without an end", "GET /" + std::string(200'000, 'a')},
    {"a first line", "GET /x HTTP/1.1\r\n"},
    {"a part of the head", "GET /x HTTP/1.1\r\nHost: a\r\nX"},
    {"a field without an end", "GET /x HTTP/1.1\r\nX-A: " + std::string(200'000, 'a')},
    {"a part of the body", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc"},
    {"a chunk's size without an end",
     "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(90'000, '0')},
    {"a request that waits for its answer", get("/held")},
    {"an answered request and a part of the next", get("/x") + "GET /x?" + repeated(600, "id=0000&")},
};

/// One connection of a client, which sends and receives without waiting.
class raw_client {
public:
    raw_client(const std::string& address, std::string bytes)
        : fd_(start_connection(address))
        , left_(std::move(bytes)) {}

    ~raw_client() { ::close(fd_); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void step() {
        const auto sent = ::send(fd_, left_.data(), left_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        left_.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
        std::array<char, 4096> buf{};
        const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        received_.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        closed_ = closed_ || n == 0 || (n < 0 && errno == ECONNRESET);
    }

    /// The status of the first answer; 0 if there is none.
    [[nodiscard]] int status() const {
        constexpr std::size_t status_at = 9;
        const bool whole = received_.starts_with("HTTP/1.1 ") && received_.size() > status_at + 3;
        return whole ? std::stoi(received_.substr(status_at, 3)) : 0;
    }

    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] const std::string& received() const { return received_; }

private:
    int fd_;
    std::string left_;
    std::string received_;
    bool closed_ = false;
};

struct endings_fixture : loop_fixture {
    std::vector<respond> held;
    std::vector<http_header> arguments; ///< of the last request
    http_server server{loop, limits(),
                       [this](const incoming_request& request, const respond& answer) {
                           arguments = request.arguments;
                           if (request.path == "/held") {
                               held.push_back(answer);
                           } else {
                               answer({200, "done", "text/plain", {}});
                           }
                       },
                       [](std::uint64_t) {}};
    std::string address = server.listen("127.0.0.1:0");

    static http_limits limits() {
        http_limits out;
        out.header_timeout = header_timeout;
        return out;
    }

    void run(raw_client& client, int turns) {
        for (int it = 0; it < turns; ++it) {
            client.step();
            loop.run_once(milliseconds(1));
        }
    }

    /// Several connections that send the same, so that one of a later client takes the memory of an earlier
    /// one.
    std::vector<std::unique_ptr<raw_client>> connect(const std::string& bytes) {
        constexpr int connections = 6;
        std::vector<std::unique_ptr<raw_client>> clients;
        for (int it = 0; it < connections; ++it) {
            clients.push_back(std::make_unique<raw_client>(address, bytes));
            run(*clients.back(), answer_turns / connections);
        }
        return clients;
    }

    /// Lets the time for heads pass, while requests of other clients wait for their answers.
    void check_other_clients(const std::string& after) {
        held.clear();
        const auto others = connect(get("/held"));
        BOOST_TEST_REQUIRE(held.size() == others.size(), after);
        for (int it = 0; it < 4; ++it) {
            loop.advance(header_timeout / 2);
            run_turns(10);
        }
        for (const auto& it : held) {
            it({200, "done", "text/plain", {}});
        }
        for (const auto& it : others) {
            run(*it, answer_turns / 10);
            BOOST_TEST(it->status() == 200, after << ": another client got " << it->status());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_that_the_library_may_end, endings_fixture)

BOOST_AUTO_TEST_CASE(is_answered_at_once_within_the_limits) {
    for (const auto& it : served_shapes) {
        raw_client client(address, it.bytes);
        run(client, answer_turns);
        BOOST_TEST(client.status() == 200, it.name << " got " << client.status());
    }
}

BOOST_AUTO_TEST_CASE(is_answered_before_the_next_one_on_its_connection) {
    for (const auto& it : served_shapes) {
        raw_client client(address, it.bytes + get("/x"));
        run(client, answer_turns);
        const auto second = client.received().find("HTTP/1.1 200 ", 1);
        BOOST_TEST((client.status() == 200 && second != std::string::npos), it.name);
    }
}

BOOST_AUTO_TEST_CASE(is_refused_at_once_beyond_the_limits) {
    for (const auto& it : refused_shapes) {
        raw_client client(address, it.bytes);
        run(client, answer_turns);
        BOOST_TEST(client.status() >= 400, it.name << " got " << client.status());
        BOOST_TEST(client.closed(), it.name);
    }
}

// Guards against the use of a connection that the library has freed without an answer to its request.
BOOST_AUTO_TEST_CASE(takes_no_other_clients_connection_with_it) {
    loop.pause_clock();
    for (const auto* const shapes : {&served_shapes, &refused_shapes, &unfinished_shapes}) {
        for (const auto& it : *shapes) {
            connect(it.bytes).clear();
            run_turns(10);
            check_other_clients(it.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(takes_no_other_clients_connection_with_it_while_its_client_stays) {
    loop.pause_clock();
    for (const auto* const shapes : {&refused_shapes, &unfinished_shapes}) {
        for (const auto& it : *shapes) {
            const auto clients = connect(it.bytes);
            check_other_clients(it.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_forgotten_with_its_client_at_each_point) {
    server.set_client_limits(limits().body_bytes, header_timeout, seconds(1));
    for (const auto* const shapes : {&served_shapes, &refused_shapes, &unfinished_shapes}) {
        for (const auto& it : *shapes) {
            for (const std::size_t parts : {1U, 2U, 7U}) {
                raw_client client(address, it.bytes.substr(0, it.bytes.size() / parts));
                run(client, 5);
            }
        }
    }
    BOOST_TEST(run_until([this] { return server.open_requests() == 0; }));
}

// Guards against a request that runs and whose answer then finds no room: its connection was closed.
BOOST_AUTO_TEST_CASE(is_answered_if_it_has_run_whatever_the_sizes_of_both_heads) {
    int runs = 0;
    std::size_t answer_field = 0;
    http_server other{loop, limits(), [&](const incoming_request&, const respond& answer) {
                          ++runs;
                          answer({200, "done", "text/plain", {{"X-A", std::string(answer_field, 'a')}}});
                      }};
    const auto other_address = other.listen("127.0.0.1:0");
    constexpr int turns = 14;
    int refused = 0;
    int too_large = 0;
    for (const std::size_t length : {0U, 30U, 100U}) {
        const auto field = "X-A: " + std::string(length, 'b') + "\r\n";
        for (std::size_t n = 10; n < 480 && n * field.size() < 16'000; n += n < 270 ? 50 : 7) {
            for (const auto* const method : {"GET", "POST"}) {
                for (const std::size_t answered : {0U, 600U, 9'000U, 31'000U}) {
                    answer_field = answered;
                    runs = 0;
                    const std::string body = *method == 'P' ? "0123456789" : "";
                    raw_client client(other_address, std::string(method) +
                                                         " /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                                         std::to_string(body.size()) + "\r\n" +
                                                         repeated(n, field) + "\r\n" + body);
                    run(client, turns);
                    const auto status = client.status();
                    BOOST_TEST((runs == 1 ? status == 200 || status == 502 : status == 431),
                               method << " with " << n << " fields of " << field.size()
                                      << " bytes, answer's field " << answered << ": " << runs
                                      << " runs, status " << status);
                    refused += status == 431 ? 1 : 0;
                    too_large += status == 502 ? 1 : 0;
                }
            }
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(too_large > 0);
}

BOOST_AUTO_TEST_CASE(has_all_its_arguments_decoded) {
    raw_client client(address, get("/x?a=1&&b=%26+c&d&=e&f=g=h&%41=" + repeated(400, "&z=1")));
    run(client, answer_turns);
    BOOST_TEST_REQUIRE(arguments.size() == 406U);
    const std::vector<std::pair<std::string, std::string>> first{{"a", "1"}, {"b", "& c"}, {"d", ""},
                                                                 {"", "e"},  {"f", "g=h"}, {"A", ""}};
    for (std::size_t it = 0; it < first.size(); ++it) {
        BOOST_TEST(arguments[it].name == first[it].first);
        BOOST_TEST(arguments[it].value == first[it].second);
    }
}

BOOST_AUTO_TEST_SUITE_END()
