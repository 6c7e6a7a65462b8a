/** @file Reading the keys of one TOML table with checks. */
#pragma once

#include "place_type.hpp"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisylead::config
{

/** Permitted values of a number, both ends included. */
struct value_range
{
    std::int64_t m_least; ///< smallest permitted value
    std::int64_t m_most;  ///< largest permitted value
};

/** A text with its position. */
struct placed_text
{
    std::string m_text; ///< the value
    place m_place;      ///< where it stands
};

/** Reads the keys of one table. Each problem becomes a finding, and the
 *  reading goes on with the default, so that one pass reports everything. */
class table_reader
{
public:
    /** @param table null if the section is absent: all keys have defaults
     *  @param name the section as written, for example "[[key]]" */
    table_reader(toml::table const* table, std::string name,
                 finding_list& findings);

    /** @return whether the table has @p key, of any type. */
    bool has(std::string_view key) const;

    /** @return a text that may be absent. */
    std::optional<placed_text> text(std::string_view key);

    /** @return a text that must be there and not be empty; empty after a
     *  finding. */
    placed_text required_text(std::string_view key);

    /** Reads an identifier that must be there.
     *  @param forbidden characters that the identifier must not have
     *  @see check_id */
    placed_text required_id(std::string_view key,
                            std::string_view forbidden = "");

    /** Reports an identifier that cannot be sent in a header. */
    void check_id(std::string_view key, placed_text const& id,
                  std::string_view forbidden);

    /** Reads an "IP:port". @see is_address */
    placed_text required_address(std::string_view key);

    /** @return a number, or @p fallback if it is absent or not permitted. */
    std::int64_t number(std::string_view key, std::int64_t fallback,
                        value_range range);

    /** @return a number that must be there; the least value after a
     *  finding. */
    std::int64_t required_number(std::string_view key, value_range range);

    std::chrono::milliseconds duration_ms(std::string_view key,
                                          std::chrono::milliseconds fallback,
                                          value_range range)
    {
        return std::chrono::milliseconds(number(key, fallback.count(), range));
    }

    bool flag(std::string_view key, bool fallback);

    /** @return the index of the text in @p choices, or nothing if the key is
     *  absent or its value is none of them. */
    std::optional<std::size_t>
    choice(std::string_view key,
           std::initializer_list<std::string_view> choices);

    /** @return the texts of an array, each reported if it occurs twice; empty
     *  if the key is absent. */
    std::vector<placed_text> texts(std::string_view key);

    /** Reports a key that must be there and is not. */
    void report_missing(std::string_view key);

    void report(place at, std::string message);

    /** Reports every key that was never asked for. */
    void finish();

    /** @return where the value of @p key stands, or where the table begins if
     *  the key is absent. */
    place place_of_value(std::string_view key) const;

    /** @return where the table begins. */
    place begin() const
    {
        return m_begin;
    }

private:
    toml::node const* find(std::string_view key);
    void report_type(std::string_view key, toml::node const& node,
                     std::string_view expected);
    std::optional<std::int64_t> checked_number(std::string_view key,
                                               value_range range);

    toml::table const* m_table;
    std::string m_name;
    finding_list& m_findings;
    place m_begin;
    std::set<std::string, std::less<>> m_known; ///< keys asked for
};

/** @return whether @p text is an IPv4 address, a colon and a port from 1 to
 *  65535. */
bool is_address(std::string_view text);

/** @return the value in quotation marks, for messages. */
std::string quoted(std::string_view text);

} // namespace daisylead::config
