/** @file Hash chain over the blocks of a prompt, seeded by its cache scope. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daisylead::prefix
{

/** Hash over the scope and a prompt up to the end of a block. */
using block_hash = std::uint64_t;

/** Scope of a prompt; prompts of different scopes never share cache entries. */
struct cache_scope
{
    organisation_id m_organisation;    ///< owner of the prompt
    model_id m_model;                  ///< base model
    adapter_id m_adapter;              ///< empty if none is used
    weights_version m_weights_version; ///< version the engine must serve
};

/** Hash chain of the whole blocks of a prompt. */
struct block_chain
{
    std::string m_cache_salt;         ///< hash of the scope, 32 hex digits
    std::vector<block_hash> m_blocks; ///< one for each whole block, in order

    /** @return block hashes as 16 hex digits each, for the engine protocol. */
    std::vector<std::string> hex_blocks() const;
};

/** @param scope seed of the chain
 *  @param prompt canonical prompt bytes
 *  @param block_size bytes of one block
 *  @pre block_size > 0
 *  @return the chain; bytes after the last whole block are not part of it
 *  @throws error if block_size is not positive */
block_chain make_block_chain(cache_scope const& scope, std::string_view prompt,
                             byte_count block_size);

/** @return the hash as 16 lower-case hex digits. */
std::string to_hex(block_hash block);

/** @param text 1 to 16 hex digits
 *  @return the hash
 *  @throws error if the text is anything else */
block_hash parse_block_hash(std::string_view text);

} // namespace daisylead::prefix
