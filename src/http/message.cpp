/** @file Access to header fields. */
#include <daisylead/base/answer_head_func.hpp>
#include <daisylead/http/message_type.hpp>

namespace daisylead::http
{

bool same_header_name(std::string_view a, std::string_view b)
{
    return is_same_field_name(a, b);
}

std::optional<std::string> find_header(header_list const& headers,
                                       std::string_view name)
{
    for (header const& field : headers)
    {
        if (same_header_name(field.m_name, name))
        {
            return field.m_value;
        }
    }
    return std::nullopt;
}

} // namespace daisylead::http
