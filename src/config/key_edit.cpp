/** @file Editing of keys in the text of a configuration. */
#include "place_type.hpp"

#include <daisylead/config/diff_func.hpp>
#include <daisylead/config/key_edit_func.hpp>

#include <algorithm>

namespace daisylead::config
{

namespace
{

constexpr std::string_view digest_prefix = "sha256:";
constexpr std::string_view hex_digits = "0123456789abcdef";

/** Fewer digits would match unrelated keys too easily. */
constexpr std::size_t min_prefix_digits = 4;

/** Lines of a block; both are included. */
struct line_range
{
    std::size_t m_first; ///< first line, from 0
    std::size_t m_last;  ///< last line, from 0
};

bool matches_digest(access::key_digest const& digest, std::string_view prefix)
{
    if (prefix.starts_with(digest_prefix))
    {
        prefix.remove_prefix(digest_prefix.size());
    }
    std::string const text = access::to_string(digest);
    return prefix.size() >= min_prefix_digits &&
           std::string_view(text)
               .substr(digest_prefix.size())
               .starts_with(prefix);
}

/** @return @p text as a TOML basic string. */
std::string toml_string(std::string_view text)
{
    std::string result = "\"";
    for (char const item : text)
    {
        auto const code = static_cast<unsigned char>(item);
        if (item == '"' || item == '\\')
        {
            result += '\\';
            result += item;
        }
        else if (code < 0x20 || code == 0x7f)
        {
            result += "\\u00";
            result += hex_digits[code >> 4U];
            result += hex_digits[code & 0x0fU];
        }
        else
        {
            result += item;
        }
    }
    return result + '"';
}

/** @return the lines of @p text, each with its line end. */
std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty())
    {
        std::size_t const end = text.find('\n');
        std::size_t const size =
            end == std::string_view::npos ? text.size() : end + 1;
        lines.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return lines;
}

std::string_view trimmed(std::string_view line)
{
    constexpr std::string_view blanks = " \t\r\n";
    std::size_t const first = line.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return line.substr(first, line.find_last_not_of(blanks) - first + 1);
}

std::vector<toml::table const*> find_blocks(toml::table const& document,
                                            std::string_view digest)
{
    std::vector<toml::table const*> blocks;
    toml::array const* keys = document["key"].as_array();
    if (keys == nullptr)
    {
        return blocks;
    }
    for (toml::node const& item : *keys)
    {
        toml::table const* table = item.as_table();
        if (table != nullptr &&
            (*table)["digest"].value_or(std::string_view()) == digest)
        {
            blocks.push_back(table);
        }
    }
    return blocks;
}

/** @return the lines from the header to the last value of @p block. */
line_range lines_of(toml::table const& block)
{
    toml::source_index first = block.source().begin.line;
    toml::source_index last = first;
    for (auto const& [key, node] : block)
    {
        first = std::min(first, key.source().begin.line);
        last = std::max({last, key.source().end.line, node.source().end.line});
    }
    return {first - 1U, last - 1U};
}

/** Moves the beginning to the [[key]] header.
 *  @throws error if there is none, as in an inline table */
line_range with_header(line_range range,
                       std::vector<std::string_view> const& lines)
{
    std::string_view const line = trimmed(lines.at(range.m_first));
    if (!line.starts_with("[["))
    {
        throw error("the key at line " + std::to_string(range.m_first + 1) +
                    " is not written as a [[key]] block");
    }
    return range;
}

/** Includes one blank line after the block if a blank line, or nothing,
 *  precedes it, so that removals leave no growing gaps. */
line_range with_gap(line_range range,
                    std::vector<std::string_view> const& lines)
{
    bool const gap_before =
        range.m_first == 0 || trimmed(lines[range.m_first - 1]).empty();
    std::size_t const next = range.m_last + 1;
    if (!gap_before)
    {
        return range;
    }
    if (next < lines.size() && trimmed(lines[next]).empty())
    {
        ++range.m_last;
    }
    else if (next == lines.size() && range.m_first > 0)
    {
        --range.m_first;
    }
    return range;
}

} // namespace

std::vector<access_key> find_keys(configuration const& item,
                                  key_selector const& selector)
{
    std::vector<access_key> found;
    bool const by_label = !selector.m_label.empty();
    bool const by_digest = !selector.m_digest_prefix.empty();
    for (access_key const& key : item.m_keys)
    {
        bool const label_fits = !by_label || key.m_label == selector.m_label;
        bool const digest_fits =
            !by_digest ||
            matches_digest(key.m_digest, selector.m_digest_prefix);
        if ((by_label || by_digest) && label_fits && digest_fits)
        {
            found.push_back(key);
        }
    }
    return found;
}

std::string append_key(std::string_view text, access_key const& key)
{
    std::string result(text);
    if (!result.empty() && !result.ends_with('\n'))
    {
        result += '\n';
    }
    if (!result.empty())
    {
        result += '\n';
    }
    result += "[[key]]\n";
    result += "digest = " + toml_string(to_string(key.m_digest)) + "\n";
    result +=
        "organisation = " + toml_string(key.m_organisation.value()) + "\n";
    result += "label = " + toml_string(key.m_label) + "\n";
    return result;
}

std::string remove_key(std::string_view text, access::key_digest const& digest)
{
    toml::table const document = parse_document(text, "configuration");
    auto const blocks = find_blocks(document, access::to_string(digest));
    if (blocks.size() != 1)
    {
        throw error(std::to_string(blocks.size()) +
                    " [[key]] blocks have the digest " + shortened(digest));
    }
    std::vector<std::string_view> const lines = split_lines(text);
    line_range const range =
        with_gap(with_header(lines_of(*blocks.front()), lines), lines);
    std::string result;
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        if (i < range.m_first || i > range.m_last)
        {
            result += lines[i];
        }
    }
    return result;
}

} // namespace daisylead::config
