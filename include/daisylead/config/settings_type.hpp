/** @file Settings of one process. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace daisylead::config
{

/** Settings of one instance, read from its TOML file at start. */
struct settings
{
    using milliseconds = std::chrono::milliseconds;

    instance_id m_instance;               ///< [instance] id
    zone_id m_zone;                       ///< [instance] zone
    region_id m_region;                   ///< [instance] region
    std::string m_caller_address;         ///< [listen] caller, "IP:port"
    std::string m_operator_address;       ///< [listen] operator, "IP:port"
    std::string m_peer_address;           ///< [listen] peer, "IP:port"
    std::string m_platform_address;       ///< [platform] address, "IP:port"
    milliseconds m_platform_timeout{800}; ///< [platform] timeout_ms
    milliseconds m_poll_interval{1000};   ///< [platform] poll_interval_ms
    std::vector<std::string> m_peers;     ///< [peers] addresses, "IP:port"
    byte_count m_max_body{1 << 20};       ///< [limits] max_body_bytes
    byte_count m_max_header{16384};       ///< [limits] max_header_bytes
    byte_count m_stream_buffer{65536};    ///< [limits] stream_buffer_bytes
    milliseconds m_idle_timeout{60000};   ///< [limits] caller_idle_timeout_ms
    milliseconds m_write_timeout{30000};  ///< [limits] caller_write_timeout_ms
    milliseconds m_connect_timeout{1000}; ///< [limits] connect_timeout_ms
    milliseconds m_upstream_idle_timeout{
        15000};                       ///< [limits] upstream_idle_timeout_ms
    milliseconds m_drain_delay{2000}; ///< [limits] drain_delay_ms
    std::string m_tls_certificate;    ///< [tls] certificate, file
    std::string m_tls_key;            ///< [tls] key, file
    std::string m_log_level = "info"; ///< [log] level
    std::string m_operator_token;     ///< [operator] token; empty: none
};

} // namespace daisylead::config
