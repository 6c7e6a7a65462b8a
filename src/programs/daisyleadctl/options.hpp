/** @file Command line of the operator command. */
#pragma once

#include <daisylead/base/error_type.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace daisylead::ctl
{

/** The command line cannot be understood. */
class usage_error : public error
{
public:
    using error::error;
};

/** A checked command line. */
struct command_line
{
    std::string m_command;                ///< for example "key add"
    std::string m_argument;               ///< file or request; may be empty
    std::vector<std::string> m_operators; ///< "IP:port", in order
    std::string m_token_file;             ///< empty: no token
    bool m_json = false;                  ///< results as JSON
    std::chrono::milliseconds m_timeout{15000}; ///< of one request
    std::int64_t m_expected_version = 0;        ///< of apply
    std::string m_organisation;                 ///< of key add
    std::string m_label;                        ///< of key add, key revoke
    std::string m_digest_prefix;                ///< of key revoke
};

/** @throws usage_error if it is not a permitted command line
 *  @return the command line; the command is "help" or "version" if that was
 *  asked for */
command_line parse_command_line(int argc, char const* const* argv);

/** @return the help text. */
std::string help_text();

} // namespace daisylead::ctl
