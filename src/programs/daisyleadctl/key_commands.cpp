/** @file Adding and revoking keys. */
#include "commands.hpp"
#include "report.hpp"

#include <daisylead/config/diff_func.hpp>
#include <daisylead/config/key_edit_func.hpp>
#include <daisylead/config/parse_func.hpp>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace daisylead::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t key_size = 32; ///< bytes
constexpr char const* document_name = "configuration in force";

/** @return a random key as 64 hex digits, the form in which callers send it.
 *  @throws error if the random generator has too little entropy */
std::string generate_key()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, key_size> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    {
        throw error("the random generator failed");
    }
    std::string key;
    for (unsigned char const byte : bytes)
    {
        key += digits[byte >> 4U];
        key += digits[byte & 0x0fU];
    }
    return key;
}

/** @return whether the change is stored, so that the key works or will. */
bool is_stored(apply_status status)
{
    return status == apply_status::accepted ||
           status == apply_status::committed;
}

void check_new_key(config::configuration const& current,
                   command_line const& line)
{
    organisation_id const owner(line.m_organisation);
    bool const known = std::any_of(
        current.m_organisations.begin(), current.m_organisations.end(),
        [&](config::organisation const& item) { return item.m_id == owner; });
    if (!known)
    {
        throw error("there is no organisation '" + line.m_organisation + "'");
    }
    if (!config::find_keys(current, {line.m_label, ""}).empty())
    {
        throw error("there is a key with the label '" + line.m_label + "'");
    }
}

} // namespace

int add_key(operator_client& client, command_line const& line)
{
    stored_configuration const stored = client.read_configuration();
    check_new_key(config::parse_configuration(stored.m_text, document_name),
                  line);
    std::string const key = generate_key();
    config::access_key const entry{access::digest_key(key),
                                   organisation_id(line.m_organisation),
                                   line.m_label};
    std::string const text = config::append_key(stored.m_text, entry);
    config::parse_configuration(text, document_name);
    apply_result const result = client.apply(text, stored.m_version);
    json extra = {{"label", line.m_label},
                  {"digest", config::shortened(entry.m_digest)}};
    if (is_stored(result.m_status))
    {
        extra["key"] = key;
        if (!line.m_json)
        {
            std::cout << key << std::endl;
        }
    }
    return print_outcome(result, line.m_json, extra);
}

int revoke_key(operator_client& client, command_line const& line)
{
    stored_configuration const stored = client.read_configuration();
    auto const found = config::find_keys(
        config::parse_configuration(stored.m_text, document_name),
        {line.m_label, line.m_digest_prefix});
    if (found.size() != 1)
    {
        throw error(std::to_string(found.size()) +
                    " keys match; exactly one must");
    }
    access::key_digest const digest = found.front().m_digest;
    std::string const text = config::remove_key(stored.m_text, digest);
    config::parse_configuration(text, document_name);
    return print_outcome(client.apply(text, stored.m_version), line.m_json,
                         {{"label", found.front().m_label},
                          {"digest", config::shortened(digest)}});
}

} // namespace daisylead::ctl
