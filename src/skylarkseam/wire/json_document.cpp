#include <skylarkseam/wire/json_document.hpp>

#include <nlohmann/json.hpp>

namespace skylarkseam {
namespace {

using nlohmann::json;
using node_kind = document_node::node_kind;

constexpr std::size_t max_depth = 32;

/// SAX handler that builds the tree of the document from the parser's events.
class tree_builder final : public nlohmann::json_sax<json> {
public:
    bool null() override { return add({}); }
    bool boolean(bool value) override { return add_scalar(value ? "true" : "false", false); }
    bool number_integer(json::number_integer_t value) override {
        return add_scalar(std::to_string(value), false);
    }
    bool number_unsigned(json::number_unsigned_t value) override {
        return add_scalar(std::to_string(value), false);
    }
    bool number_float(json::number_float_t /*value*/, const std::string& text) override {
        return add_scalar(text, false);
    }
    bool string(std::string& text) override { return add_scalar(std::move(text), true); }
    bool binary(json::binary_t& /*value*/) override { return false; }
    bool start_object(std::size_t /*size*/) override { return open(node_kind::map); }
    bool start_array(std::size_t /*size*/) override { return open(node_kind::sequence); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(std::string& text) override {
        auto& parent = open_nodes_.back();
        if (parent.node.find(text) != nullptr) {
            fault_ = "duplicate key '" + text + '\'';
            return false;
        }
        parent.key = text;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& ex) override {
        fault_ = std::string("bad JSON: ") + ex.what();
        return false;
    }

    document_node root;
    [[nodiscard]] const std::string& fault() const { return fault_; }

private:
    struct open_node {
        document_node node;
        std::string key;
    };

    bool add_scalar(std::string text, bool quoted) {
        document_node node;
        node.kind = node_kind::scalar;
        node.quoted = quoted;
        node.scalar = std::move(text);
        return add(std::move(node));
    }

    bool open(node_kind kind) {
        if (open_nodes_.size() == max_depth) {
            fault_ = "is nested too deeply";
            return false;
        }
        document_node node;
        node.kind = kind;
        open_nodes_.push_back({std::move(node), {}});
        return true;
    }

    bool close() {
        auto node = std::move(open_nodes_.back().node);
        open_nodes_.pop_back();
        return add(std::move(node));
    }

    bool add(document_node node) {
        if (open_nodes_.empty()) {
            root = std::move(node);
        } else if (open_nodes_.back().node.kind == node_kind::sequence) {
            open_nodes_.back().node.items.push_back(std::move(node));
        } else {
            open_nodes_.back().node.members.push_back({std::move(open_nodes_.back().key), std::move(node)});
        }
        return true;
    }

    std::string fault_;
    std::vector<open_node> open_nodes_;
};

} // namespace

std::vector<document> parse_json(const std::string& file, std::string_view text, fault_list& faults) {
    tree_builder builder;
    if (!json::sax_parse(text, &builder)) {
        faults.add(file, 0, "", builder.fault().empty() ? "bad JSON" : builder.fault());
        return {};
    }
    return {{file, std::move(builder.root)}};
}

} // namespace skylarkseam
