/** @file Calls of instances' operator ports. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/base/unit_type.hpp>
#include <daisylead/http/client_base.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::ctl
{

/** No instance could be reached. */
class unreachable_error : public error
{
public:
    using error::error;
};

/** The text in force. */
struct stored_configuration
{
    config_version m_version; ///< 0: there is none yet
    std::string m_hash;       ///< SHA-256 of the text, hex
    std::string m_text;       ///< the TOML document
};

enum class apply_status
{
    accepted,  ///< in force everywhere
    committed, ///< stored, not confirmed everywhere
    conflict,  ///< another version is in force
    invalid,   ///< the instance found problems
    failed,    ///< not stored
    unknown    ///< cannot tell whether it was stored
};

/** Outcome of a change. */
struct apply_result
{
    apply_status m_status = apply_status::failed; ///< what happened
    config_version m_version; ///< the new one, or the one that won a conflict
    std::vector<finding> m_findings; ///< if invalid
    std::string m_message;           ///< cause of a failure
};

/** Calls the given instances in order until one answers. */
class operator_client
{
public:
    using milliseconds = std::chrono::milliseconds;

    /** @param addresses "IP:port" of operator ports, not empty
     *  @param token operator token; empty: none
     *  @param timeout of one request to one instance */
    operator_client(std::vector<std::string> addresses, std::string token,
                    milliseconds timeout);

    /** @return the configuration of the first instance that has one.
     *  @throws unreachable_error, error */
    stored_configuration read_configuration();

    /** Replaces version @p expected by @p text. A broken connection leaves the
     *  outcome open; the text in force is then read back.
     *  @throws unreachable_error if nothing was sent to any instance */
    apply_result apply(std::string const& text, config_version expected);

    /** @param everywhere ask the next instance also after a 404
     *  @return the body of the first successful response
     *  @throws unreachable_error, error */
    std::string get(std::string const& path, bool everywhere = false);

    /** Asks the first instance to shut down.
     *  @throws unreachable_error, error */
    void drain();

private:
    http::client_response send(std::string const& address,
                               std::string const& method,
                               std::string const& path,
                               http::header_list headers = {},
                               http::shared_body body = nullptr);
    bool is_in_force(std::string const& text, config_version expected,
                     config_version& version);
    apply_result resolve(std::string const& text, config_version expected,
                         std::string const& cause);
    apply_result read_outcome(http::client_response const& response) const;

    std::vector<std::string> m_addresses;
    std::string m_token;
    milliseconds m_timeout;
    http::client m_client;
};

} // namespace daisylead::ctl
