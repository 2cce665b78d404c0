#include <skylarkseam/control/configuration_head.hpp>

namespace skylarkseam {

std::vector<std::string> split_body(std::string_view body) {
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < body.size(); at += configuration_piece_bytes) {
        pieces.emplace_back(body.substr(at, configuration_piece_bytes));
    }
    return pieces;
}

} // namespace skylarkseam
