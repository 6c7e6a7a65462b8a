/** @file SHA-256 digests of access keys, computed by OpenSSL. */
#include <daisylead/access/key_digest_type.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace daisylead::access
{

namespace
{

constexpr std::string_view digest_prefix = "sha256:";
constexpr std::string_view hex_digits = "0123456789abcdef";

std::string to_hex(std::array<std::uint8_t, 32> const& bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (std::uint8_t const byte : bytes)
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0x0fU];
    }
    return text;
}

} // namespace

key_digest digest_key(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(),
           digest.m_bytes.data());
    return digest;
}

bool equal_in_constant_time(key_digest const& a, key_digest const& b)
{
    return CRYPTO_memcmp(a.m_bytes.data(), b.m_bytes.data(),
                         a.m_bytes.size()) == 0;
}

std::string to_string(key_digest const& digest)
{
    return std::string(digest_prefix) + to_hex(digest.m_bytes);
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    if (!text.starts_with(digest_prefix))
    {
        return std::nullopt;
    }
    text.remove_prefix(digest_prefix.size());
    key_digest digest;
    if (text.size() != 2 * digest.m_bytes.size())
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.m_bytes.size(); ++i)
    {
        std::size_t const high = hex_digits.find(text[2 * i]);
        std::size_t const low = hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        digest.m_bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

std::string sha256_hex(std::string_view bytes)
{
    return to_hex(digest_key(bytes).m_bytes);
}

} // namespace daisylead::access
