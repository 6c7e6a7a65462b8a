/** @file Messages between instances. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>
#include <daisylead/lease/lease_type.hpp>
#include <daisylead/limits/limit_type.hpp>
#include <daisylead/membership/membership_type.hpp>
#include <daisylead/request/quarantine_base.hpp>
#include <daisylead/serving/document_transfer_type.hpp>
#include <daisylead/serving/fleet_news_type.hpp>
#include <daisylead/serving/stream_registry_base.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::peer
{

/** A message without content, for example a plain acknowledgement. */
struct none
{
};

/** Asks for the configuration of the receiver. */
struct fetch_config
{
};

/** A configuration. */
struct config_text
{
    config_version m_version; ///< 0: the sender has none
    std::string m_text;       ///< TOML document
};

/** News of requests that crashed upstreams. */
struct quarantine_news
{
    std::vector<request::quarantine_update> m_entries; ///< in order
};

/** Asks whether the receiver still works on a claim. */
struct claim_query
{
    std::string m_token; ///< token of the claim
};

/** Answer to a claim_query. */
struct claim_status
{
    bool m_open = false; ///< whether the sender still works on it
};

/** News of an upstream. */
struct upstream_news
{
    upstream_id m_upstream; ///< the upstream
    bool m_leaving = false; ///< it takes no new work
};

/** Streams for the receiver to keep; in a reply the asked ones that the sender
 *  knows. */
struct stream_records
{
    std::vector<serving::stream_origin> m_origins; ///< lifetimes count from now
    std::vector<std::string> m_asked; ///< ids of the first requests
};

using message_body = std::variant<
    none, membership::ping, membership::ping_reply, fetch_config, config_text,
    limits::reserve_request, limits::reserve_reply, limits::settle,
    lease::lease_confirm_request, lease::lease_confirm_reply, quarantine_news,
    claim_query, claim_status, upstream_news, serving::fleet_news,
    stream_records, serving::document_request, serving::document_part>;

/** A message with its sender. The sender fields inside a body are filled from
 *  these on arrival. */
struct message
{
    instance_id m_sender;      ///< instance that sent it
    incarnation m_incarnation; ///< its incarnation
    message_body m_body;       ///< content
};

} // namespace daisylead::peer
