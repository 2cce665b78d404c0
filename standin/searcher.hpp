// One searcher stand-in over HTTP: the model behind its listening port, with control and record.
#pragma once

#include "standin/http_front.hpp"
#include "standin/searcher_model.hpp"

#include <functional>
#include <memory>
#include <string>

namespace skylarkseam::standin {

class searcher_front {
public:
    searcher_front(http_loop& loop, const searcher_options& options, std::uint16_t port);
    ~searcher_front();
    searcher_front(const searcher_front&) = delete;
    searcher_front& operator=(const searcher_front&) = delete;

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const searcher_options& options() const;

    /// Answers /control and /record, also while the searcher is killed.
    [[nodiscard]] front_response operate(const front_request& request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace skylarkseam::standin
