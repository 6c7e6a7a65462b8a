/** @file Reading the keys of one TOML table with checks. */
#include "table_reader.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace daisylead::config
{

namespace
{

/** Identifiers are sent in headers and stored in row names. */
constexpr std::size_t max_id_size = 128; ///< characters

constexpr unsigned max_port = 65535;
constexpr std::size_t max_quoted = 60; ///< bytes of a value in a message

std::string type_name(toml::node const& node)
{
    switch (node.type())
    {
    case toml::node_type::string:
        return "a text";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::table:
        return "a table";
    default:
        return "a date or time";
    }
}

/** @return whether @p item continues a UTF-8 character. */
bool is_continuation(char item)
{
    return (static_cast<unsigned char>(item) & 0xc0U) == 0x80U;
}

std::string list_choices(std::initializer_list<std::string_view> choices)
{
    std::string text;
    for (std::string_view const item : choices)
    {
        text += (text.empty() ? "" : ", ") + quoted(item);
    }
    return text;
}

} // namespace

bool is_address(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    std::string const host(text.substr(0, colon));
    std::string_view const digits = text.substr(colon + 1);
    unsigned port = 0;
    auto const [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    in_addr address{};
    return status == std::errc() && end == digits.data() + digits.size() &&
           port >= 1 && port <= max_port &&
           inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::string quoted(std::string_view text)
{
    std::size_t size = std::min(text.size(), max_quoted);
    // A cut inside a UTF-8 character would make the message invalid JSON.
    while (size < text.size() && is_continuation(text[size]))
    {
        --size;
    }
    std::string result = "\"";
    for (char const item : text.substr(0, size))
    {
        bool const control = static_cast<unsigned char>(item) < 0x20;
        result += control ? '?' : item;
    }
    return result + (text.size() > size ? "...\"" : "\"");
}

table_reader::table_reader(toml::table const* table, std::string name,
                           finding_list& findings)
    : m_table(table), m_name(std::move(name)), m_findings(findings)
{
    if (m_table != nullptr)
    {
        m_begin = place_of(m_table->source());
    }
}

bool table_reader::has(std::string_view key) const
{
    return m_table != nullptr && m_table->contains(key);
}

toml::node const* table_reader::find(std::string_view key)
{
    m_known.emplace(key);
    return m_table == nullptr ? nullptr : m_table->get(key);
}

place table_reader::place_of_value(std::string_view key) const
{
    return has(key) ? place_of(m_table->get(key)->source()) : m_begin;
}

void table_reader::report(place at, std::string message)
{
    m_findings.add(at, std::move(message));
}

void table_reader::report_missing(std::string_view key)
{
    report(m_begin, m_name + " lacks the required key " + quoted(key));
}

void table_reader::report_type(std::string_view key, toml::node const& node,
                               std::string_view expected)
{
    report(place_of(node.source()), quoted(key) + " must be " +
                                        std::string(expected) + ", not " +
                                        type_name(node));
}

std::optional<placed_text> table_reader::text(std::string_view key)
{
    toml::node const* node = find(key);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    if (auto const* value = node->as_string())
    {
        return placed_text{value->get(), place_of(node->source())};
    }
    report_type(key, *node, "a text");
    return std::nullopt;
}

placed_text table_reader::required_text(std::string_view key)
{
    if (!has(key))
    {
        m_known.emplace(key);
        report_missing(key);
        return {{}, m_begin};
    }
    std::optional<placed_text> const value = text(key);
    if (value && value->m_text.empty())
    {
        report(value->m_place, quoted(key) + " must not be empty");
    }
    return value.value_or(placed_text{{}, m_begin});
}

void table_reader::check_id(std::string_view key, placed_text const& id,
                            std::string_view forbidden)
{
    bool permitted = id.m_text.size() <= max_id_size &&
                     id.m_text.find_first_of(forbidden) == std::string::npos;
    for (char const item : id.m_text)
    {
        permitted = permitted && item > ' ' && item <= '~';
    }
    if (permitted)
    {
        return;
    }
    std::string message = quoted(key) + " must have at most " +
                          std::to_string(max_id_size) +
                          " printable ASCII characters without blanks";
    if (!forbidden.empty())
    {
        message += " and without any of " + std::string(forbidden);
    }
    report(id.m_place, message + ", not " + quoted(id.m_text));
}

placed_text table_reader::required_id(std::string_view key,
                                      std::string_view forbidden)
{
    placed_text id = required_text(key);
    check_id(key, id, forbidden);
    return id;
}

placed_text table_reader::required_address(std::string_view key)
{
    placed_text value = required_text(key);
    if (!value.m_text.empty() && !is_address(value.m_text))
    {
        report(value.m_place, quoted(key) +
                                  " must be an IPv4 address and a port from 1 "
                                  "to 65535 (\"IP:port\"), not " +
                                  quoted(value.m_text));
    }
    return value;
}

std::optional<std::int64_t> table_reader::checked_number(std::string_view key,
                                                         value_range range)
{
    toml::node const* node = find(key);
    if (node == nullptr)
    {
        return std::nullopt;
    }
    auto const* value = node->as_integer();
    if (value == nullptr)
    {
        report_type(key, *node, "an integer");
        return std::nullopt;
    }
    if (value->get() < range.m_least || value->get() > range.m_most)
    {
        report(place_of(node->source()),
               quoted(key) + " must be from " + std::to_string(range.m_least) +
                   " to " + std::to_string(range.m_most) + ", not " +
                   std::to_string(value->get()));
        return std::nullopt;
    }
    return value->get();
}

std::int64_t table_reader::number(std::string_view key, std::int64_t fallback,
                                  value_range range)
{
    return checked_number(key, range).value_or(fallback);
}

std::int64_t table_reader::required_number(std::string_view key,
                                           value_range range)
{
    if (!has(key))
    {
        report_missing(key);
    }
    return checked_number(key, range).value_or(range.m_least);
}

bool table_reader::flag(std::string_view key, bool fallback)
{
    toml::node const* node = find(key);
    if (node == nullptr)
    {
        return fallback;
    }
    if (auto const* value = node->as_boolean())
    {
        return value->get();
    }
    report_type(key, *node, "a boolean");
    return fallback;
}

std::optional<std::size_t>
table_reader::choice(std::string_view key,
                     std::initializer_list<std::string_view> choices)
{
    std::optional<placed_text> const value = text(key);
    if (!value)
    {
        return std::nullopt;
    }
    std::size_t index = 0;
    for (std::string_view const item : choices)
    {
        if (item == value->m_text)
        {
            return index;
        }
        ++index;
    }
    report(value->m_place, quoted(key) + " must be one of " +
                               list_choices(choices) + ", not " +
                               quoted(value->m_text));
    return std::nullopt;
}

std::vector<placed_text> table_reader::texts(std::string_view key)
{
    std::vector<placed_text> result;
    toml::node const* node = find(key);
    if (node == nullptr)
    {
        return result;
    }
    toml::array const* array = node->as_array();
    if (array == nullptr)
    {
        report_type(key, *node, "an array of texts");
        return result;
    }
    std::set<std::string> seen;
    for (toml::node const& item : *array)
    {
        if (auto const* value = item.as_string())
        {
            placed_text const entry{value->get(), place_of(item.source())};
            if (!seen.insert(entry.m_text).second)
            {
                report(entry.m_place, quoted(key) + " lists " +
                                          quoted(entry.m_text) + " twice");
            }
            result.push_back(entry);
            continue;
        }
        report_type(key, item, "an array of texts");
    }
    return result;
}

void table_reader::finish()
{
    if (m_table == nullptr)
    {
        return;
    }
    for (auto const& [key, node] : *m_table)
    {
        if (!m_known.contains(key.str()))
        {
            report(place_of(key.source()),
                   m_name + " has no key " + quoted(key.str()));
        }
    }
}

} // namespace daisylead::config
