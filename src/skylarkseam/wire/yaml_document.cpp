#include <skylarkseam/wire/utf8.hpp>
#include <skylarkseam/wire/yaml_document.hpp>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>

namespace skylarkseam {
namespace {

using node_kind = document_node::node_kind;

constexpr std::size_t max_keys_per_map = 1000;

/// Event handler that builds the tree of one document from the parser's events.
class tree_builder final : public YAML::EventHandler {
public:
    tree_builder(std::string file, fault_list& faults)
        : file_(std::move(file))
        , faults_(faults) {}

    void OnDocumentStart(const YAML::Mark& mark) override {
        root_ = {};
        open_nodes_.clear();
        if (mark.pos == document_start_) {
            throw YAML::ParserException(mark, "unexpected text");
        }
        document_start_ = mark.pos;
    }
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
        add_value(make_node(node_kind::null, mark));
    }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
        faults_.add(file_, line_of(mark), "", "aliases are not supported; write the value out");
        add_value(make_node(node_kind::null, mark));
    }
    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                  const std::string& value) override {
        auto node = make_node(node_kind::scalar, mark);
        node.quoted = tag == "!";
        node.scalar = value;
        add_value(std::move(node));
    }
    void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override {
        open_nodes_.push_back({make_node(node_kind::sequence, mark), {}, false});
    }
    void OnSequenceEnd() override { close(); }
    void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override {
        open_nodes_.push_back({make_node(node_kind::map, mark), {}, false});
    }
    void OnMapEnd() override { close(); }

    [[nodiscard]] document_node take_root() { return std::move(root_); }

private:
    /// Sequence or map whose end has not been parsed yet.
    struct open_node {
        document_node node;
        std::string key; ///< Key of a map whose value is parsed next.
        bool has_key = false;
    };

    static int line_of(const YAML::Mark& mark) { return mark.line + 1; }

    static document_node make_node(node_kind kind, const YAML::Mark& mark) {
        document_node node;
        node.kind = kind;
        node.line = line_of(mark);
        return node;
    }

    void close() {
        auto node = std::move(open_nodes_.back().node);
        open_nodes_.pop_back();
        add_value(std::move(node));
    }

    void add_value(document_node node) {
        if (open_nodes_.empty()) {
            root_ = std::move(node);
            return;
        }
        auto& parent = open_nodes_.back();
        if (parent.node.kind == node_kind::sequence) {
            parent.node.items.push_back(std::move(node));
        } else if (!parent.has_key) {
            set_key(parent, node);
        } else {
            if (parent.node.members.size() <= max_keys_per_map) {
                parent.node.members.push_back({std::move(parent.key), std::move(node)});
            }
            parent.key.clear();
            parent.has_key = false;
        }
    }

    void set_key(open_node& parent, const document_node& key) {
        if (key.kind != node_kind::scalar) {
            faults_.add(file_, key.line, "", "a key must be a single value");
        } else if (parent.node.members.size() == max_keys_per_map) {
            faults_.add(file_, key.line, "",
                        "a map has more than " + std::to_string(max_keys_per_map) + " keys");
        } else if (parent.node.find(key.scalar) != nullptr) {
            faults_.add(file_, key.line, key.scalar, "duplicate key");
        }
        parent.key = key.scalar;
        parent.has_key = true;
    }

    std::string file_;
    fault_list& faults_;
    /// Start of the latest document. The parser does not advance past a token that is not valid there, and
    /// would report a new document at the same position forever.
    int document_start_ = -1;
    document_node root_;
    std::vector<open_node> open_nodes_;
};

int line_at(std::string_view text, std::size_t offset) {
    return 1 + static_cast<int>(
                   std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
}

bool check_text(const source_file& source, fault_list& faults) {
    if (source.text.size() > max_source_bytes) {
        faults.add(source.name, 0, "", "is longer than " + std::to_string(max_source_bytes) + " bytes");
        return false;
    }
    if (const auto invalid_offset = find_invalid_utf8(source.text)) {
        faults.add(source.name, line_at(source.text, *invalid_offset), "", "is not valid UTF-8");
        return false;
    }
    return true;
}

} // namespace

std::vector<document> parse_yaml(const source_file& source, fault_list& faults) {
    std::vector<document> documents;
    if (!check_text(source, faults)) {
        return documents;
    }
    std::istringstream in(source.text);
    try {
        YAML::Parser parser(in);
        tree_builder builder(source.name, faults);
        while (parser.HandleNextDocument(builder)) {
            documents.push_back({source.name, builder.take_root()});
        }
    } catch (const YAML::Exception& ex) {
        faults.add(source.name, std::max(0, ex.mark.line + 1), "", "bad YAML: " + ex.msg);
    }
    std::erase_if(documents, [](const document& it) { return it.root.kind == node_kind::null; });
    return documents;
}

} // namespace skylarkseam
