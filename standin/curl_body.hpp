// The callback by which libcurl hands over the body of an answer.
#pragma once

#include <cstddef>
#include <string>

namespace skylarkseam::standin {

/// For CURLOPT_WRITEFUNCTION; `target` is the std::string set by CURLOPT_WRITEDATA.
inline std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

} // namespace skylarkseam::standin
