/** @file Hash chain over the blocks of a prompt, seeded by its cache scope. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/prefix/block_chain_type.hpp>

#include <xxhash.h>

#include <charconv>
#include <system_error>

namespace daisylead::prefix
{

namespace
{

constexpr int hex_digits_of_block = 16;
constexpr unsigned bits_per_digit = 4;
constexpr std::uint64_t digit_mask = 0xf;

/** Appends a field with its length as prefix, so that different scopes never
 *  have the same bytes. */
void append_field(std::string& bytes, std::string const& field)
{
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
}

XXH128_hash_t hash_scope(cache_scope const& scope)
{
    std::string bytes;
    append_field(bytes, scope.m_organisation.value());
    append_field(bytes, scope.m_model.value());
    append_field(bytes, scope.m_adapter.value());
    append_field(bytes, scope.m_weights_version.value());
    return XXH3_128bits(bytes.data(), bytes.size());
}

} // namespace

std::vector<std::string> block_chain::hex_blocks() const
{
    std::vector<std::string> result;
    result.reserve(m_blocks.size());
    for (block_hash const block : m_blocks)
    {
        result.push_back(to_hex(block));
    }
    return result;
}

block_chain make_block_chain(cache_scope const& scope, std::string_view prompt,
                             byte_count block_size)
{
    if (block_size.value() <= 0)
    {
        throw error("the block size must be positive");
    }
    XXH128_hash_t const root = hash_scope(scope);
    auto const step = static_cast<std::size_t>(block_size.value());
    block_chain chain;
    chain.m_cache_salt = to_hex(root.high64) + to_hex(root.low64);
    chain.m_blocks.reserve(prompt.size() / step);
    block_hash previous = root.low64;
    for (std::size_t begin = 0; prompt.size() - begin >= step; begin += step)
    {
        previous = XXH3_64bits_withSeed(prompt.data() + begin, step, previous);
        chain.m_blocks.push_back(previous);
    }
    return chain;
}

std::string to_hex(block_hash block)
{
    std::string text(hex_digits_of_block, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit)
    {
        *digit = "0123456789abcdef"[block & digit_mask];
        block >>= bits_per_digit;
    }
    return text;
}

block_hash parse_block_hash(std::string_view text)
{
    constexpr int base = 16;
    block_hash block = 0;
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, block, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
    {
        throw error("a block hash must be 1 to 16 hex digits");
    }
    return block;
}

} // namespace daisylead::prefix
