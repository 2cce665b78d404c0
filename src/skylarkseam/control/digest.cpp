#include <skylarkseam/control/digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace skylarkseam {

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * std::size_t{size});
    for (unsigned int it = 0; it < size; ++it) {
        text.push_back(digits[digest[it] >> 4U]);
        text.push_back(digits[digest[it] & 0xFU]);
    }
    return text;
}

std::string sha256_hex_of_fields(const std::vector<std::string_view>& fields) {
    std::string bytes;
    for (const auto& it : fields) {
        bytes += std::to_string(it.size());
        bytes += ':';
        bytes += it;
    }
    return sha256_hex(bytes);
}

} // namespace skylarkseam
