/** @file Text form of findings. */
#include <daisylead/base/error_type.hpp>

namespace daisylead
{

namespace
{

std::string join(std::vector<finding> const& findings)
{
    std::string text;
    for (finding const& item : findings)
    {
        if (!text.empty())
        {
            text += '\n';
        }
        text += to_string(item);
    }
    return text;
}

} // namespace

std::string to_string(finding const& item)
{
    return item.m_file + ':' + std::to_string(item.m_line) + ':' +
           std::to_string(item.m_column) + ": " + item.m_message;
}

findings_error::findings_error(std::vector<finding> findings)
    : error(join(findings)), m_findings(std::move(findings))
{
}

} // namespace daisylead
