// Events that a gateway's request logic takes and actions that it returns: client requests, attempts at
// searchers, and answers.
#pragma once

#include <skylarkseam/core/time.hpp>
#include <skylarkseam/gateway/execution.hpp>
#include <skylarkseam/gateway/known_searcher.hpp>
#include <skylarkseam/gateway/relay_peers.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkseam {

using request_token = std::uint64_t; ///< Identifier of one client request, unique within a process.

/// Part of a client's request that the request logic needs; method, headers and body stay with the I/O layer.
struct gateway_request {
    request_token token = 0;
    std::string id; ///< Request ID as sent by the client.
    std::string host;
    std::string path;                     ///< Path without the query string.
    std::optional<duration> time_left;    ///< Time that the client will still wait.
    std::optional<duration> round_trip{}; ///< Time to the client and back, if it is known.
    /// Hash of what the client sent except its request ID and the time it waits. A request that a client
    /// repeats has the same fingerprint.
    std::string fingerprint{};
    bool relayed = false; ///< True if another host passed it on; it is not passed on again.
    /// Number of searchers that may get it; the route's number if absent.
    std::optional<std::uint32_t> max_attempts{};
};

enum class attempt_outcome {
    answered, ///< The searcher sent a complete response that belongs to the request.
    refused,  ///< The searcher reported that it did not run the request.
    replaced, ///< Another searcher now uses the address and did not run the request.
    not_sent, ///< No byte of the request left this host.
    broken,   ///< The request was sent and no usable response came; the searcher may have run it.
};

[[nodiscard]] std::string_view name_of(attempt_outcome outcome);

/// What the outcome says of the attempt's request at its searcher.
[[nodiscard]] run_state run_state_of(attempt_outcome outcome);

struct header_field {
    std::string name;
    std::string value;
};

/// A searcher's response, decoded and checked for completeness by the I/O layer.
struct searcher_response {
    int status = 0;
    std::string proof;                 ///< The searcher's proof of its answer; empty if there is none.
    bool encoded = false;              ///< True if the body has a content encoding.
    std::vector<header_field> headers; ///< Headers other than the hop-by-hop ones.
    std::string body;
};

struct attempt_result {
    attempt_outcome outcome = attempt_outcome::broken;
    searcher_response response;
    bool searcher_leaving = false; ///< True if the searcher announced in its answer that it shuts down.
    /// Time for which the searcher wants no requests from this host.
    std::optional<duration> back_off{};
    /// Requests that the searcher accepts each second from all hosts together, if its answer states that.
    std::optional<double> rate_limit{};
    /// Time to open the connection; set only if the attempt opened a new one.
    std::optional<duration> connect_time{};
    std::string detail; ///< Description of the fault if there is no response.
    /// True if the searcher closed or reset the connection before it had answered the whole request.
    bool connection_lost = false;
    /// True if nothing listens at the searcher's address; set only if no byte was sent.
    bool connection_refused = false;
};

/// Result of a check of a searcher.
enum class check_result {
    accepted, ///< A connection was opened; the check asked for no more.
    answered, ///< The searcher answered a liveness request.
    silent,   ///< A connection was opened, and the liveness request on it was not answered.
    refused,  ///< Nothing listens at the address.
    no_answer,
};

/// Reason why a request got neither a searcher's answer nor a merged one.
enum class refusal_reason {
    not_ready, ///< The gateway has no configuration or no list of searchers yet.
    no_route,
    no_searcher, ///< No searcher of the service may get the request.
    overloaded,  ///< No searcher had a free connection slot in time.
    backing_off, ///< The searchers have asked for no requests for some time.
    shards_down, ///< Fewer shards can answer than the route's minimum share.
    all_refused, ///< Every searcher that got the request refused it.
    broken,      ///< The request was sent and no usable response came.
    crashes,     ///< Searchers ended under the request, so it is sent to no other.
    cut_off,     ///< This host reaches no searcher, and no other host has taken the request.
    deadline,    ///< The deadline passed.
    draining,
};

[[nodiscard]] std::string_view name_of(refusal_reason reason);

/// Summary of a finished request for its log line.
struct request_summary {
    std::string id;
    std::string fingerprint{};
    std::string route;
    std::uint64_t config_version = 0;
    duration elapsed{};
    duration objective{};
    std::uint32_t parts = 0;
    std::uint32_t parts_missing = 0;
    std::uint32_t attempts = 0;
    std::uint32_t extra_attempts = 0;
    std::string detail;           ///< Last fault of an attempt.
    std::string missing_services; ///< First few services whose parts are missing, each with its reason.
    std::string relay;            ///< Address of the host that the request was last passed on to, if any.
};

namespace gateway_answer {
/// The response of a single searcher.
struct forwarded {
    searcher_response response;
};
/// The greatest records of all parts that were answered.
struct merged {
    std::vector<std::string> proofs;
    std::uint32_t missing = 0;
    std::string body;
};
/// The answer of another host, to which the request was passed on.
struct relayed {
    int status = 0;
    std::string content_type;
    std::vector<header_field> headers;
    std::string body;
    execution_report report{}; ///< As the other host states it; unstated by earlier builds.
};
struct refused {
    refusal_reason reason = refusal_reason::broken;
    int status = 503;
    duration retry_after{}; ///< Suggested delay before a retry; 0 if the answer suggests none.
};
} // namespace gateway_answer

using any_answer = std::variant<gateway_answer::forwarded, gateway_answer::merged, gateway_answer::relayed,
                                gateway_answer::refused>;

/// Answer to a request, with what is known of the request's execution.
struct gateway_reply {
    any_answer value;
    execution_report report{};
};

/// Returns the reply; in its place a failure of the gateway's own, if its status would promise to the client
/// that a request has not run which may have run.
[[nodiscard]] gateway_reply with_true_promise(gateway_reply reply);

enum class relay_outcome {
    answered,
    declined, ///< The other host does not take requests of others now; the request has not run.
    not_sent, ///< No byte of the request left this host.
    silent,   ///< No answer came in time; the request may have run.
    lost,     ///< The connection to the other host ended; the request may have run.
};

[[nodiscard]] std::string_view name_of(relay_outcome outcome);

/// How it ended that a request was passed on to another host.
struct relay_result {
    relay_outcome outcome = relay_outcome::lost;
    gateway_answer::relayed answer;
    std::string detail; ///< Description of the fault if there is no answer.
};

namespace gateway_event {
struct request_arrived {
    gateway_request request;
};
struct client_disconnected {
    request_token token = 0;
};
/// The attempt waits for a connection to open, and no byte of its request has left this host. This event
/// directly follows the attempt's `send` action.
struct attempt_connecting {
    attempt_id id = 0;
};
/// The connection is open and the request is being written.
struct attempt_sent {
    attempt_id id = 0;
};
struct attempt_ended {
    attempt_id id = 0;
    attempt_result result;
};
/// The result of a `check_searcher` action.
struct searcher_checked {
    attempt_id id = 0;
    check_result result = check_result::no_answer;
    std::optional<attempt_result>
        answer{}; ///< Answer to the liveness request, for what the searcher states in it.
};
/// The other host has accepted a request that was passed on to it.
struct relay_accepted {
    request_token token = 0;
};
struct relay_ended {
    request_token token = 0;
    relay_result result;
};
/// The result of an `ask_peer` action.
struct peer_asked {
    std::string address;
    std::optional<relay_offer> offer; ///< Absent if the other host has not said whether it takes requests.
    bool answered = false;            ///< False if it has not answered at all.
};
struct time_passed {};
} // namespace gateway_event

using gateway_input =
    std::variant<gateway_event::request_arrived, gateway_event::client_disconnected,
                 gateway_event::attempt_connecting, gateway_event::attempt_sent, gateway_event::attempt_ended,
                 gateway_event::searcher_checked, gateway_event::relay_accepted, gateway_event::relay_ended,
                 gateway_event::peer_asked, gateway_event::time_passed>;

namespace gateway_action {
struct send {
    attempt_id id = 0;
    request_token token = 0;
    std::string address;
    std::string searcher;
    duration time_left{};       ///< Time that the searcher has for the request.
    duration connect_timeout{}; ///< Timeout for opening a new connection.
    /// Time for which a new connection is watched before the request is sent on it. A searcher that is over
    /// its connection limit resets the connection in that time, and the request has not left this host.
    duration settle_time{};
};
/// Opens a connection to a searcher, sends a liveness request if there is a path for it, and closes the
/// connection. The searcher may have ended.
struct check_searcher {
    attempt_id id = 0;
    std::string address;
    std::string searcher; ///< ID of the searcher; another one at the address answers that it is not meant.
    duration timeout{};   ///< Timeout for opening the connection.
    std::string liveness_path{}; ///< Path of the liveness request; empty if none is sent.
    duration answer_timeout{};   ///< Timeout of its answer.
};
/// Passes a request on to another host.
struct relay {
    request_token token = 0;
    std::string address;              ///< Address (ip:port) on which other gateways reach that host.
    std::uint64_t config_version = 0; ///< Configuration that the other host must have.
    std::uint32_t max_attempts = 1;   ///< Number of searchers that may get it from the other host.
    duration time_left{};
};
/// Withdraws a request from the host that it was passed on to. No `relay_ended` event follows.
struct cancel_relay {
    request_token token = 0;
};
/// Asks another host whether it takes requests.
struct ask_peer {
    std::string address;              ///< Address (ip:port) on which other gateways reach that host.
    std::uint64_t config_version = 0; ///< Configuration that the other host must have.
};
/// Reports that a request was passed on and not answered.
struct report_relay {
    std::string request;
    std::string peer;
    relay_outcome outcome = relay_outcome::lost;
    std::string reason;
};
/// Reports that this host has lost all searchers, or reaches them again.
struct report_reach {
    bool cut_off = false;
    std::size_t searchers = 0;
    std::size_t unreachable = 0; ///< Number of searchers believed to be unreachable.
    std::size_t silent = 0;
};
/// Aborts the attempt: its connection is closed, and no `attempt_ended` event follows.
struct cancel {
    attempt_id id = 0;
};
struct answer {
    request_token token = 0;
    any_answer value;
    request_summary summary;
    execution_report
        report{}; ///< Of the request. A status that promises "not run" goes with `run_state::no` only.
};
/// Reports that a part of a request was sent to another searcher.
struct report_retry {
    std::string request;
    std::string service;
    std::string searcher; ///< Searcher that gets the new attempt.
    std::string reason;   ///< Reason why the previous attempt is not sufficient.
    duration since{};     ///< Time since the previous attempt was sent.
};
/// Reports that an attempt was sent and no usable response came.
struct report_loss {
    std::string request;
    std::string fingerprint{};
    std::string searcher;
    std::string service;
    std::string reason;
    duration since{};          ///< Time since the attempt was sent.
    std::size_t also_open = 0; ///< Number of this host's other requests that are open at the searcher.
};
/// Reports that a searcher ended under a request, or that another host said so.
struct report_suspect {
    std::string fingerprint;
    std::string searcher;    ///< Searcher that ended; empty if it is not known.
    bool found_here = false; ///< True if this host found it out, false if it was told.
    std::size_t ends = 0;    ///< Number of searchers that have ended under the request.
    std::string outcome;
    duration refused_for{}; ///< Time for which the request is refused; 0 if it is not.
};
/// Reports that the gateway's view of a searcher's health has changed.
struct report_searcher {
    std::string searcher;
    std::string service;
    std::string health;
    std::string reason;
};
} // namespace gateway_action

using gateway_output =
    std::variant<gateway_action::send, gateway_action::check_searcher, gateway_action::cancel,
                 gateway_action::relay, gateway_action::cancel_relay, gateway_action::answer,
                 gateway_action::report_retry, gateway_action::report_loss, gateway_action::report_suspect,
                 gateway_action::report_searcher, gateway_action::report_relay, gateway_action::report_reach,
                 gateway_action::ask_peer>;

} // namespace skylarkseam
