/** @file Settings of an entry instance on a platform with its own store. */
#pragma once

#include <daisylead/base/id_type.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace daisylead::config
{

/** Settings of one entry instance, read from a TOML file. */
struct entry_settings
{
    using milliseconds = std::chrono::milliseconds;

    instance_id m_instance;          ///< [instance] id
    zone_id m_zone;                  ///< [instance] zone
    region_id m_region;              ///< [instance] region
    double m_size = 1;               ///< [instance] size, cores
    std::string m_caller_address;    ///< [listen] caller, "IP:port"
    std::string m_readiness_address; ///< [listen] readiness, "IP:port"
    std::string m_peer_address;      ///< [listen] peer, "IP:port"
    std::string m_metrics_address;   ///< [listen] metrics, "IP:port"
    /** [listen] tunnel, "IP:port"; empty: opens no tunnels for peers. */
    std::string m_tunnel_address;
    std::string m_store_address;       ///< [store] address, "IP:port"
    milliseconds m_store_timeout{400}; ///< [store] timeout_ms
    milliseconds m_read_interval{450}; ///< [store] read_interval_ms
    std::vector<std::string> m_seeds;  ///< [peers] seeds, "IP:port"
    milliseconds m_news_interval{400}; ///< [peers] news_interval_ms
    milliseconds m_key_validity{5000}; ///< [bounds] key_validity_ms
    /** [bounds] configuration_apply_ms: time in which an accepted configuration
     *  comes into force everywhere. */
    milliseconds m_configuration_apply{2000};
    milliseconds m_order_handover{3000}; ///< [bounds] order_handover_ms
    /** [bounds] weights_max_age_ms: requests begin on weights that have been
     *  outdated for no longer than this. */
    milliseconds m_weights_max_age{8000};
    double m_retry_ratio = 0.2;         ///< [bounds] retry_ratio
    std::int64_t m_retry_extra = 100;   ///< [bounds] retry_extra
    milliseconds m_retry_window{10000}; ///< [bounds] retry_window_s
    milliseconds m_grace{8000};         ///< [bounds] grace_s
    std::int64_t m_load_percent = 16;   ///< [orders] load_percent
    /** [limits] memory_mb of this machine; 0: as the system states it. */
    std::int64_t m_memory_mb = 0;
    /** [limits] descriptors of this machine; 0: as the system states them. */
    std::int64_t m_descriptors = 0;
    /** [limits] caller_memory_percent: part of the memory that requests of
     *  callers may hold. */
    std::int64_t m_caller_memory_percent = 25;
    std::string m_log_level = "info"; ///< [log] level
};

} // namespace daisylead::config
