#include <skylarkseam/shell/response_reader.hpp>
#include <skylarkseam/wire/http_syntax.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <utility>

namespace skylarkseam {
namespace {

namespace http = boost::beast::http;
using parser = http::response_parser<http::string_body>;

constexpr std::uint32_t header_limit = 32U << 10U;
/// Bytes that the parser may leave for later: a head, the line before a chunk or the trailer of a body.
constexpr std::size_t unparsed_limit = 64U << 10U;
constexpr int max_interim_responses = 16;
constexpr int status_continue = 100;
constexpr int status_switching = 101;
constexpr int status_ok = 200;

} // namespace

const std::string* upstream_response::header(std::string_view name) const {
    for (const auto& it : headers) {
        if (boost::beast::iequals({it.name.data(), it.name.size()}, {name.data(), name.size()})) {
            return &it.value;
        }
    }
    return nullptr;
}

struct response_reader::impl {
    std::size_t body_limit;
    answer_memory* memory = nullptr;
    std::size_t held = 0; ///< bytes counted in `memory`
    bool to_head = false;
    std::string in; ///< bytes that the parser has not taken yet
    std::optional<parser> response;
    int interim_responses = 0;
    std::string fault;

    impl(std::size_t limit, answer_memory* shared)
        : body_limit(limit)
        , memory(shared) {}
    ~impl() { release(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    reading_state fail(std::string text) {
        fault = std::move(text);
        in = {};
        response.reset();
        release();
        return reading_state::failed;
    }

    void release() {
        if (memory != nullptr) {
            memory->release(std::exchange(held, 0));
        }
    }

    /// Counts what is held. Returns false if all answers together hold too much.
    [[nodiscard]] bool count_held() {
        if (memory == nullptr) {
            return true;
        }
        const auto now_held = in.size() + (response ? response->get().body().size() : 0);
        return memory->resize(std::exchange(held, now_held), now_held);
    }

    void begin_response() {
        response.emplace();
        // The body follows once the stated length has been checked: after a length over its limit the parser
        // of Boost 1.74 goes on with the bytes behind the head, and reserves memory for that length.
        response->eager(false);
        response->header_limit(header_limit);
        // Boost 1.74 fails without a limit where a head ends exactly at the end of a read.
        response->body_limit(body_limit);
        response->skip(to_head);
    }

    [[nodiscard]] bool is_interim() const {
        const int status = static_cast<int>(response->get().result_int());
        return status >= status_continue && status < status_ok;
    }

    /// The fault of the head that has been read; empty if it has none.
    [[nodiscard]] std::string head_fault() const {
        const auto& head = response->get();
        const int status = static_cast<int>(head.result_int());
        if (!is_status(status)) {
            return "status " + std::to_string(status);
        }
        if (status == status_switching) {
            return "a switch to another protocol, which no request asked for";
        }
        head_check check;
        for (const auto& it : head) {
            auto text = check.take_field({it.name_string().data(), it.name_string().size()},
                                         {it.value().data(), it.value().size()});
            if (!text.empty()) {
                return text;
            }
        }
        return is_interim() && check.states_body() ? "an interim answer states a body" : std::string();
    }

    reading_state parse() {
        boost::system::error_code ec;
        while (!in.empty()) {
            if (!response) {
                begin_response();
            }
            const auto used = response->put(boost::asio::buffer(in), ec);
            in.erase(0, used);
            if (response->is_header_done() && !response->eager()) {
                if (const auto text = head_fault(); !text.empty()) {
                    return fail("not an HTTP response: " + text);
                }
                response->eager(true);
            }
            // The parser's own limit holds for a stated length only.
            if (ec == http::error::body_limit || response->get().body().size() > body_limit) {
                return fail("the answer is longer than " + std::to_string(body_limit) + " bytes");
            }
            if (ec == http::error::need_more) {
                return in.size() <= unparsed_limit
                           ? reading_state::incomplete
                           : fail("more than " + std::to_string(unparsed_limit) + " bytes without an end");
            }
            if (ec) {
                return fail("not an HTTP response: " + ec.message());
            }
            if (!response->is_done()) {
                if (used == 0) {
                    return reading_state::incomplete;
                }
                continue;
            }
            if (!is_interim()) {
                return reading_state::complete;
            }
            if (++interim_responses > max_interim_responses) {
                return fail("more than " + std::to_string(max_interim_responses) + " interim answers");
            }
            response.reset();
        }
        return reading_state::incomplete;
    }
};

response_reader::response_reader(std::size_t body_limit, answer_memory* memory)
    : impl_(std::make_unique<impl>(body_limit, memory)) {}

response_reader::~response_reader() = default;

void response_reader::reset(bool to_head) {
    impl_->to_head = to_head;
    impl_->in.clear();
    impl_->response.reset();
    impl_->interim_responses = 0;
    impl_->fault.clear();
    impl_->release();
}

reading_state response_reader::add(std::string_view bytes) {
    impl_->in.append(bytes);
    const auto state = impl_->parse();
    if (state == reading_state::incomplete && !impl_->count_held()) {
        return impl_->fail("the answers that are being read hold too many bytes");
    }
    return state;
}

reading_state response_reader::add_end() {
    boost::system::error_code ec;
    auto& response = impl_->response;
    if (response && response->got_some()) {
        response->put_eof(ec);
        if (!ec && response->is_done()) {
            return reading_state::complete;
        }
    }
    return impl_->fail("connection closed before the end of the response");
}

const std::string& response_reader::fault() const {
    return impl_->fault;
}

upstream_response response_reader::take() {
    auto& message = impl_->response->get();
    upstream_response out;
    out.status = static_cast<int>(message.result_int());
    for (const auto& it : message) {
        out.headers.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    out.body = std::move(message.body());
    impl_->release();
    return out;
}

bool response_reader::keeps_connection() const {
    return impl_->response->keep_alive() && !impl_->response->need_eof() && impl_->in.empty();
}

} // namespace skylarkseam
