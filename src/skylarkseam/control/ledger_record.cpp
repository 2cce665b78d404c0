#include <skylarkseam/control/digest.hpp>
#include <skylarkseam/control/ledger_record.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace skylarkseam {
namespace {

constexpr name_table ledger_kind_names{std::array{
    named_value<ledger_kind>{ledger_kind::opened, "opened"},
    named_value<ledger_kind>{ledger_kind::query, "query"},
    named_value<ledger_kind>{ledger_kind::closed, "closed"},
}};

std::string dump(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string_view name_of(ledger_kind kind) {
    return ledger_kind_names.name_of(kind);
}

std::vector<dispatch_range> dispatch_ranges(const std::vector<dispatch_record>& dispatches) {
    std::map<std::string_view, dispatch_range> by_owner;
    for (const auto& it : dispatches) {
        auto [found, fresh] = by_owner.try_emplace(it.owner);
        auto& range = found->second;
        if (fresh) {
            range = {it.owner, it.sequence, it.sequence, 0};
        }
        range.first = std::min(range.first, it.sequence);
        range.last = std::max(range.last, it.sequence);
        ++range.count;
    }
    std::vector<dispatch_range> ranges;
    ranges.reserve(by_owner.size());
    for (auto& [owner, range] : by_owner) {
        ranges.push_back(std::move(range));
    }
    return ranges;
}

std::string encode_ledger_record(const ledger_record& record, std::uint64_t sequence) {
    nlohmann::json value{{"seq", sequence}, {"kind", name_of(record.kind)}};
    if (record.kind != ledger_kind::query) {
        return dump(value);
    }
    value["caller"] = record.caller;
    value["request_id"] = record.request_id;
    value["service"] = record.service;
    value["class"] = name_of(record.cls);
    value["arrival"] = record.arrival;
    value["outcome"] = record.outcome;
    value["ran"] = name_of(record.ran);
    value["snapshot"] = record.snapshot;
    value["searched"] = record.searched;
    value["total"] = record.total;
    value["request"] = record.request_digest;
    value["answer"] = record.answer_digest;
    auto dispatches = nlohmann::json::array();
    for (const auto& it : record.dispatches) {
        dispatches.push_back({it.owner, it.first, it.last, it.count});
    }
    value["dispatches"] = std::move(dispatches);
    return dump(value);
}

std::optional<ledger_line_header> read_ledger_line(const std::string& line) {
    const auto value = nlohmann::json::parse(line, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        return ledger_line_header{value.at("seq").get<std::uint64_t>(), value.at("kind").get<std::string>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string chain_start(std::string_view node, std::uint64_t incarnation) {
    return sha256_hex_of_fields({"ledger", node, std::to_string(incarnation)});
}

std::string chain_hash(std::string_view previous, std::string_view line) {
    return sha256_hex_of_fields({previous, line});
}

std::string encode_receipt(const ledger_receipt& receipt) {
    return dump({{"node", receipt.node},
                 {"incarnation", receipt.incarnation},
                 {"sequence", receipt.sequence},
                 {"hash", receipt.hash}});
}

std::optional<ledger_receipt> decode_receipt(const std::string& json) {
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        return ledger_receipt{value.at("node").get<std::string>(),
                              value.at("incarnation").get<std::uint64_t>(),
                              value.at("sequence").get<std::uint64_t>(), value.at("hash").get<std::string>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace skylarkseam
