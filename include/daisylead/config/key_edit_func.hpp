/** @file Editing of keys in the text of a configuration. */
#pragma once

#include <daisylead/config/configuration_type.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace daisylead::config
{

/** Names one key by its label or by the beginning of its digest. */
struct key_selector
{
    std::string m_label;         ///< whole label; empty: not used
    std::string m_digest_prefix; ///< hex digits, "sha256:" may precede them;
                                 ///< empty: not used
};

/** @return the keys of @p item that match every part of @p selector that is
 *  used. */
std::vector<access_key> find_keys(configuration const& item,
                                  key_selector const& selector);

/** Appends a [[key]] block. The rest of the text stays as it is.
 *  @param text a TOML document
 *  @return the new text, to be checked with parse_configuration() */
std::string append_key(std::string_view text, access_key const& key);

/** Removes the [[key]] block of a digest. The rest of the text, with comments
 *  before and after the block, stays as it is.
 *  @param text a TOML document
 *  @return the new text
 *  @throws findings_error if @p text is not TOML
 *  @throws error if no block, or more than one, has the digest, or if it is
 *  not written as a [[key]] block */
std::string remove_key(std::string_view text, access::key_digest const& digest);

} // namespace daisylead::config
