/** @file What the head of an HTTP/1.1 answer must look like. */
#include <daisylead/base/answer_head_func.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace daisylead
{

namespace
{

constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_char(char c)
{
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           token_marks.find(c) != std::string_view::npos;
}

bool is_text_char(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

} // namespace

bool is_field_name(std::string_view name)
{
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), is_token_char);
}

bool is_same_field_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y)
                      { return std::tolower(x) == std::tolower(y); });
}

bool is_field_value(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), is_text_char);
}

bool is_final_status(int status)
{
    return status >= 200 && status <= 599;
}

bool is_interim_status(int status)
{
    return status >= 100 && status <= 199 && status != 101;
}

std::optional<int> parse_status_line(std::string_view line)
{
    // "HTTP/1.1 200 reason"; servers leave out the blank before no reason.
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_end = 12;
    if (line.size() < status_end ||
        !(line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ")))
    {
        return std::nullopt;
    }
    std::string_view const digits = line.substr(status_at, 3);
    std::string_view const rest = line.substr(status_end);
    if (!std::all_of(digits.begin(), digits.end(), is_digit) ||
        (!rest.empty() && rest.front() != ' ') || !is_field_value(rest))
    {
        return std::nullopt;
    }
    return (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + digits[2] - '0';
}

void answer_fields_check::add(std::string_view name, std::string_view value)
{
    if (!is_field_name(name))
    {
        fail("field name");
    }
    else if (!is_field_value(value))
    {
        fail("field value");
    }
    else if (is_same_field_name(name, "Transfer-Encoding"))
    {
        add_coding(value);
    }
    else if (is_same_field_name(name, "Content-Length"))
    {
        add_length(value);
    }
}

void answer_fields_check::add_coding(std::string_view value)
{
    if (m_has_coding || !is_same_field_name(value, "chunked"))
    {
        fail("transfer coding");
    }
    else if (m_length)
    {
        fail("length and transfer coding");
    }
    m_has_coding = true;
}

void answer_fields_check::add_length(std::string_view value)
{
    std::int64_t size = 0;
    char const* const end = value.data() + value.size();
    auto const parsed = std::from_chars(value.data(), end, size);
    if (parsed.ec != std::errc() || parsed.ptr != end || size < 0 ||
        value.front() == '-')
    {
        fail("length");
    }
    else if (m_has_coding)
    {
        fail("length and transfer coding");
    }
    else if (m_length && *m_length != value)
    {
        fail("several lengths");
    }
    m_length = value;
}

void answer_fields_check::fail(std::string_view fault)
{
    if (m_fault.empty())
    {
        m_fault = fault;
    }
}

} // namespace daisylead
