#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/control/singleton_task.hpp>
#include <skylarkseam/shell/ledger_runner.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkseam {
namespace {

constexpr const char* copy_topic = "ledger_copy";
constexpr const char* release_topic = "ledger_release";
constexpr duration peer_timeout = seconds(2);

} // namespace

ledger_runner::ledger_runner(event_loop& loop, platform_client& platform, peer_client& peers,
                             std::string node, std::uint64_t incarnation)
    : loop_(loop)
    , platform_(platform)
    , peers_(peers)
    , node_(std::move(node))
    , incarnation_(incarnation)
    , ledger_(node_, incarnation, loop.now())
    , runner_(loop, platform, ledger_, [this](ledger_output& output) { perform(output); })
    , copies_timer_(loop, [this] { pass_time_of_copies(); }) {
    loop_.post([this] { runner_.wake(); });
}

void ledger_runner::serve(peer_server& server) {
    server.serve(copy_topic,
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     responder->send(copies_.hold(body) ? "held" : "refused");
                     responder->finish();
                 });
    server.serve(release_topic,
                 [this](const std::string& body, const std::shared_ptr<peer_responder>& responder) {
                     if (const auto up_to = decode_receipt(body)) {
                         copies_.release(up_to->node, up_to->incarnation, up_to->sequence);
                     }
                     responder->send("");
                     responder->finish();
                 });
}

void ledger_runner::set_members(const std::vector<member>& members) {
    auto others = members;
    std::erase_if(others, [this](const member& it) { return it.node == node_; });
    const auto holder = singleton_task_owner(others, "ledger copies of " + node_);
    const auto found =
        std::find_if(others.begin(), others.end(), [&](const member& it) { return it.node == holder; });
    copy_holder_ = found == others.end() ? std::string() : found->peer_address;
    copies_.set_members(members, loop_.now());
    copies_timer_.set(copies_.next_wakeup());
}

std::string ledger_runner::record(const query_request& request, std::uint64_t arrival,
                                  const ledger_outcome& outcome) {
    ledger_record record;
    record.caller = request.caller;
    record.request_id = request.request_id;
    record.service = request.service;
    record.cls = request.cls.value_or(request_class::interactive);
    record.arrival = arrival;
    record.outcome = outcome.outcome;
    record.ran = outcome.ran;
    record.request_digest = sha256_hex_of_fields({request.query_json, std::to_string(request.limit)});
    record.answer_digest = outcome.answer_digest;
    if (outcome.answer != nullptr) {
        record.snapshot = outcome.answer->snapshot;
        record.searched = outcome.answer->covered.searched;
        record.total = outcome.answer->covered.total;
        record.dispatches = dispatch_ranges(outcome.answer->dispatches);
    }
    const auto receipt = ledger_.append(record, loop_.now());
    runner_.wake();
    return encode_receipt(receipt);
}

void ledger_runner::close() {
    ledger_.close(loop_.now());
    runner_.wake();
}

void ledger_runner::perform(ledger_output& output) {
    if (auto* copy = std::get_if<ledger_action::copy_segment>(&output)) {
        send_to_copy_holder(copy_topic, std::move(copy->segment_json));
    } else if (auto* release = std::get_if<ledger_action::release_copies>(&output)) {
        send_to_copy_holder(release_topic, encode_receipt({node_, incarnation_, release->up_to, ""}));
    }
}

void ledger_runner::send_to_copy_holder(const char* topic, std::string body) {
    if (!copy_holder_.empty()) {
        peers_.call(copy_holder_, topic, std::move(body), peer_timeout, [](const auto&, const auto&) {});
    }
}

void ledger_runner::pass_time_of_copies() {
    std::vector<platform_call> calls;
    copies_.pass_time(loop_.now(), calls);
    call_for_copies(calls);
}

void ledger_runner::call_for_copies(const std::vector<platform_call>& calls) {
    for (const auto& it : calls) {
        platform_.call(it.request, [this, id = it.id](platform_response response) {
            std::vector<platform_call> more;
            copies_.handle({id, std::move(response)}, loop_.now(), more);
            call_for_copies(more);
        });
    }
    copies_timer_.set(copies_.next_wakeup());
}

std::string ledger_runner::state_json() const {
    const auto& counts = ledger_.counters();
    return nlohmann::json{
        {"node", node_},
        {"incarnation", incarnation_},
        {"head", ledger_.head()},
        {"records", counts.records},
        {"segments_stored", counts.segments_stored},
        {"bytes_stored", counts.bytes_stored},
        {"records_lost", counts.records_lost},
        {"backlog_records", ledger_.backlog()},
        {"backlog_bytes", ledger_.backlog_bytes()},
        {"copies_held_for_others", copies_.held()},
        {"bytes_held_for_others", copies_.bytes()},
    }
        .dump();
}

} // namespace skylarkseam
