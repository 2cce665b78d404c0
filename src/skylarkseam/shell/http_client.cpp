#include <skylarkseam/shell/answer_head.hpp>
#include <skylarkseam/shell/http_client.hpp>
#include <skylarkseam/shell/socket_address.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace skylarkseam {
namespace {

constexpr long default_connections_per_host = 128;
constexpr long max_cached_connections = 16384;
/// A connection that has been idle for longer is not used again: it may have gone silent without an error,
/// and its host may still acknowledge what it is sent.
constexpr long reusable_idle_s = 1;
constexpr int unacknowledged_timeout_ms = 2000; ///< less than the calls' own time-outs
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_probes = 2;

struct curl_call {
    http_call_id id = 0;
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    std::size_t answer_limit = 0;
    http_request request;
    http_response response;
    std::function<void(http_response)> on_answer;
    answer_head head;
    std::string fault; ///< of an answer that is malformed or too long

    curl_call() = default;
    ~curl_call() { curl_slist_free_all(header_list); }
    curl_call(const curl_call&) = delete;
    curl_call& operator=(const curl_call&) = delete;
};

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto* const call = static_cast<curl_call*>(user);
    if (call->response.body.size() + size * count > call->answer_limit) {
        call->fault = "the answer is longer than " + std::to_string(call->answer_limit) + " bytes";
        return 0;
    }
    call->response.body.append(data, size * count);
    return size * count;
}

std::size_t write_header(char* data, std::size_t size, std::size_t count, void* user) {
    auto* const call = static_cast<curl_call*>(user);
    call->fault = call->head.take_line({data, size * count}, call->response.headers);
    if (call->fault.empty()) {
        return size * count;
    }
    call->response.headers.clear();
    return 0;
}

/// A host without power or a connection that has gone silent must not hold a call until its time-out.
int limit_socket_silence(void*, curl_socket_t fd, curlsocktype) {
    limit_silence(fd, unacknowledged_timeout_ms, keep_alive_idle_s, keep_alive_probes);
    return CURL_SOCKOPT_OK;
}

bool is_reset(CURLcode code) {
    return code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR || code == CURLE_GOT_NOTHING ||
           code == CURLE_PARTIAL_FILE || code == CURLE_COULDNT_CONNECT;
}

} // namespace

std::string http_response::header(const std::string& name) const {
    for (const auto& it : headers) {
        if (it.name == name) {
            return it.value;
        }
    }
    return {};
}

struct http_client::impl {
    event_loop& loop;
    std::size_t answer_limit;
    CURLM* multi = nullptr;
    std::unordered_map<http_call_id, std::unique_ptr<curl_call>> calls;
    http_call_id last_id = 0;
    timer_id timer = -1;

    impl(event_loop& event_loop, std::size_t most_answer_bytes)
        : loop(event_loop)
        , answer_limit(most_answer_bytes) {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi = curl_multi_init();
        if (multi == nullptr) {
            throw std::runtime_error("curl_multi_init failed");
        }
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, default_connections_per_host);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
    }

    ~impl() {
        for (auto& [id, it] : calls) {
            curl_multi_remove_handle(multi, it->easy);
            curl_easy_cleanup(it->easy);
        }
        curl_multi_cleanup(multi);
        if (timer >= 0) {
            loop.cancel(timer);
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static int on_socket(CURL*, curl_socket_t fd, int what, void* user, void*) {
        auto* const self = static_cast<impl*>(user);
        if (what == CURL_POLL_REMOVE) {
            self->loop.unwatch(fd);
            return 0;
        }
        const readiness interest{(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0};
        self->loop.watch(fd, interest, [self, fd](readiness ready) { self->on_ready(fd, ready); });
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user) {
        auto* const self = static_cast<impl*>(user);
        if (self->timer >= 0) {
            self->loop.cancel(self->timer);
            self->timer = -1;
        }
        if (timeout_ms >= 0) {
            self->timer = self->loop.run_after(milliseconds(timeout_ms), [self] {
                self->timer = -1;
                self->perform(CURL_SOCKET_TIMEOUT, 0);
            });
        }
        return 0;
    }

    void on_ready(int fd, readiness ready) {
        int flags = 0;
        flags |= ready.readable ? CURL_CSELECT_IN : 0;
        flags |= ready.writable ? CURL_CSELECT_OUT : 0;
        perform(fd, flags);
    }

    void perform(curl_socket_t fd, int flags) {
        int running = 0;
        curl_multi_socket_action(multi, fd, flags, &running);
        collect();
    }

    void collect() {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            void* user = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
            finish(static_cast<curl_call*>(user)->id, message->data.result);
        }
    }

    void finish(http_call_id id, CURLcode code) {
        const auto it = calls.find(id);
        auto call = std::move(it->second);
        calls.erase(it);
        describe(*call, code);
        release(*call);
        call->on_answer(std::move(call->response));
    }

    static void describe(curl_call& call, CURLcode code) {
        // libcurl takes a connection that ends within a head for the end of an answer without a body.
        const bool cut = code == CURLE_OK && !call.head.complete();
        if (cut) {
            call.fault = "the connection was closed within the head of the answer";
        }
        long bytes = 0;
        curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &bytes);
        call.response.sent = bytes > 0;
        if (code == CURLE_OK && !cut) {
            long status = 0;
            curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
            call.response.status = static_cast<int>(status);
            return;
        }
        call.response.body.clear();
        call.response.detail = call.fault.empty() ? curl_easy_strerror(code) : call.fault;
        call.response.timed_out = code == CURLE_OPERATION_TIMEDOUT;
        call.response.reset = cut || is_reset(code);
    }

    void release(curl_call& call) {
        curl_multi_remove_handle(multi, call.easy);
        curl_easy_cleanup(call.easy);
        call.easy = nullptr;
    }
};

http_client::http_client(event_loop& loop, std::size_t answer_limit)
    : impl_(std::make_unique<impl>(loop, answer_limit)) {}

http_client::~http_client() = default;

namespace {

void set_options(curl_call& call) {
    auto* const easy = call.easy;
    const auto& request = call.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L); // An object's name may be "..".
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, reusable_idle_s);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &limit_socket_silence);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(to_ms(request.timeout))));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    if (request.never_resend) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    for (const auto& it : request.headers) {
        call.header_list = curl_slist_append(call.header_list, it.c_str());
    }
    if (request.method == "POST" || request.method == "PUT") {
        call.header_list = curl_slist_append(call.header_list, "Expect:");
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    if (request.method != "GET" && request.method != "POST") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.header_list);
}

} // namespace

http_call_id http_client::send(http_request request, std::function<void(http_response)> on_answer) {
    auto call = std::make_unique<curl_call>();
    call->id = ++impl_->last_id;
    call->answer_limit = impl_->answer_limit;
    // Not one that was used before: libcurl 7.88 appends a head's first line, if that begins with a blank, to
    // the last field of the handle's previous answer, which it has freed.
    call->easy = curl_easy_init();
    call->request = std::move(request);
    call->on_answer = std::move(on_answer);
    set_options(*call);
    const auto id = call->id;
    auto* const easy = call->easy;
    impl_->calls[id] = std::move(call);
    curl_multi_add_handle(impl_->multi, easy);
    return id;
}

void http_client::abort(http_call_id id) {
    const auto it = impl_->calls.find(id);
    if (it == impl_->calls.end()) {
        return;
    }
    auto call = std::move(it->second);
    impl_->calls.erase(it);
    impl_->release(*call);
}

std::size_t http_client::open_calls() const {
    return impl_->calls.size();
}

} // namespace skylarkseam
