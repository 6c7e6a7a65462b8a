/** @file Digest of an access key. The key itself is never stored. */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisylead::access
{

/** SHA-256 digest of an access key. */
struct key_digest
{
    std::array<std::uint8_t, 32> m_bytes{}; ///< digest bytes

    bool operator==(key_digest const&) const = default;
};

/** @return the SHA-256 digest of @p key. */
key_digest digest_key(std::string_view key);

/** Compares without a data-dependent branch, so that the duration does not
 *  reveal how many bytes match. */
bool equal_in_constant_time(key_digest const& a, key_digest const& b);

/** @return the text "sha256:<64 hex digits>". */
std::string to_string(key_digest const& digest);

/** @return the digest, or nothing if @p text is not "sha256:<64 hex digits>".
 */
std::optional<key_digest> parse_key_digest(std::string_view text);

/** @return the SHA-256 digest of @p bytes as 64 hex digits. */
std::string sha256_hex(std::string_view bytes);

} // namespace daisylead::access
