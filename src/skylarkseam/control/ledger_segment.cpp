#include <skylarkseam/control/ledger_segment.hpp>
#include <skylarkseam/core/name_table.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace skylarkseam {
namespace {

constexpr name_table receipt_verdict_names{std::array{
    named_value<receipt_verdict>{receipt_verdict::proved, "proved"},
    named_value<receipt_verdict>{receipt_verdict::differs, "differs"},
    named_value<receipt_verdict>{receipt_verdict::lost, "lost"},
    named_value<receipt_verdict>{receipt_verdict::absent, "absent"},
}};

/// Number of digits to which numbers in a name are zero-padded, so that names sort in numeric order.
constexpr std::size_t padded_number_width = 20;

std::string padded(std::uint64_t n) {
    auto digits = std::to_string(n);
    return std::string(padded_number_width - digits.size(), '0') + digits;
}

/// Verifies a chain record by record up to the first break.
class chain_verifier {
public:
    void check_segment(const ledger_segment& segment) {
        if (report_.first_break) {
            return;
        }
        if (next_ == 1 && report_.head.empty()) {
            node_ = segment.node;
            incarnation_ = segment.incarnation;
            report_.head = chain_start(node_, incarnation_);
        }
        if (segment.node != node_ || segment.incarnation != incarnation_) {
            return set_break("a segment of another chain");
        }
        if (report_.closed) {
            return set_break("records after the closing one");
        }
        if (segment.first != next_) {
            return set_break("the next segment begins at " + std::to_string(segment.first));
        }
        if (segment.previous != report_.head) {
            return set_break("the hash before the segment is not the one after the last record");
        }
        segment.lost ? check_lost_segment(segment) : check_records(segment);
    }
    [[nodiscard]] chain_report report() const { return report_; }

private:
    void check_lost_segment(const ledger_segment& segment) {
        if (segment.last < segment.first || !segment.lines.empty()) {
            return set_break("a malformed gap");
        }
        report_.lost += segment.last - segment.first + 1;
        report_.head = segment.head;
        next_ = segment.last + 1;
    }
    void check_records(const ledger_segment& segment) {
        for (const auto& it : segment.lines) {
            const auto header = read_ledger_line(it);
            if (!header || header->sequence != next_) {
                return set_break("the record in this place is another one");
            }
            report_.head = chain_hash(report_.head, it);
            report_.closed = header->kind == name_of(ledger_kind::closed);
            ++report_.records;
            ++next_;
        }
        if (next_ != segment.last + 1 || report_.head != segment.head) {
            report_.records -= segment.lines.size();
            next_ = segment.first;
            set_break("the records of segment " + segment_name(segment) + " do not give its hash");
        }
    }
    void set_break(std::string reason) {
        report_.first_break = chain_report::chain_break{next_, std::move(reason)};
    }

    chain_report report_;
    std::string node_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t next_ = 1;
};

} // namespace

std::string_view name_of(receipt_verdict verdict) {
    return receipt_verdict_names.name_of(verdict);
}

std::string chapter_kind(std::string_view node, std::uint64_t incarnation, std::uint64_t chapter) {
    return "ledger." + std::string(node) + "." + std::to_string(incarnation) + "." + std::to_string(chapter);
}

std::string segment_kind(const ledger_segment& segment) {
    if (segment.first == 1) {
        return ledger_chains_kind;
    }
    return chapter_kind(segment.node, segment.incarnation, segment.first / records_per_chapter);
}

std::string segment_name(const ledger_segment& segment) {
    return segment.node + "." + padded(segment.incarnation) + "." + padded(segment.first);
}

std::string encode_segment(const ledger_segment& segment) {
    return nlohmann::json{
        {"node", segment.node}, {"incarnation", segment.incarnation}, {"first", segment.first},
        {"last", segment.last}, {"previous", segment.previous},       {"head", segment.head},
        {"lost", segment.lost}, {"records", segment.lines},
    }
        .dump();
}

std::optional<ledger_segment> decode_segment(const std::string& json) {
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        ledger_segment segment;
        segment.node = value.at("node").get<std::string>();
        segment.incarnation = value.at("incarnation").get<std::uint64_t>();
        segment.first = value.at("first").get<std::uint64_t>();
        segment.last = value.at("last").get<std::uint64_t>();
        segment.previous = value.at("previous").get<std::string>();
        segment.head = value.at("head").get<std::string>();
        segment.lost = value.at("lost").get<bool>();
        segment.lines = value.at("records").get<std::vector<std::string>>();
        return segment;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

chain_report verify_chain(const std::vector<ledger_segment>& segments) {
    chain_verifier verifier;
    for (const auto& it : segments) {
        verifier.check_segment(it);
    }
    return verifier.report();
}

receipt_verdict verify_receipt(const std::vector<ledger_segment>& segments, const ledger_receipt& receipt) {
    for (const auto& it : segments) {
        const bool covers = it.node == receipt.node && it.incarnation == receipt.incarnation &&
                            it.first <= receipt.sequence && receipt.sequence <= it.last;
        if (!covers) {
            continue;
        }
        if (it.lost) {
            return receipt_verdict::lost;
        }
        auto hash = it.previous;
        for (std::size_t line = 0; line < it.lines.size() && it.first + line <= receipt.sequence; ++line) {
            hash = chain_hash(hash, it.lines[line]);
        }
        return hash == receipt.hash ? receipt_verdict::proved : receipt_verdict::differs;
    }
    return receipt_verdict::absent;
}

} // namespace skylarkseam
