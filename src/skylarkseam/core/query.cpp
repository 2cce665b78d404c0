#include <skylarkseam/core/query.hpp>

namespace skylarkseam {

result<query_answer> refused(error reason) {
    return reason;
}

} // namespace skylarkseam
