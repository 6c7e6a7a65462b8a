/** @file Reading of the settings of an entry instance. */
#include "rendered_settings_func.hpp"
#include "section_reader.hpp"

#include <daisylead/config/parse_func.hpp>

#include <charconv>

namespace daisylead::config
{

namespace
{

constexpr value_range interval_range{10, 60000};   ///< ms
constexpr value_range validity_range{500, 600000}; ///< ms
constexpr value_range window_range{1, 600};        ///< s
constexpr value_range extra_range{0, 1000000};     ///< sends
constexpr value_range percent_range{1, 100};       ///< percent
constexpr value_range memory_range{1, 16777216};   ///< MB
constexpr value_range descriptor_range{1, 16777216};
constexpr double max_ratio = 10;  ///< repeated sends per request
constexpr double max_size = 1000; ///< cores

class entry_settings_reader : private section_reader
{
public:
    using section_reader::section_reader;

    entry_settings read()
    {
        read_instance();
        read_listen();
        read_store();
        read_peers();
        read_bounds();
        read_limits();
        read_log();
        report_unknown_sections();
        m_findings.throw_if_any();
        return std::move(m_result);
    }

private:
    using milliseconds = entry_settings::milliseconds;

    void read_instance()
    {
        table_reader reader = section("instance");
        m_result.m_instance = instance_id(reader.required_id("id", "/").m_text);
        m_result.m_zone = zone_id(reader.required_id("zone").m_text);
        m_result.m_region = region_id(reader.required_id("region").m_text);
        read_fraction(reader, "size", max_size, m_result.m_size);
        reader.finish();
    }

    void read_listen()
    {
        table_reader reader = section("listen");
        auto const read = [&reader](char const* key)
        {
            return reader.required_address(key).m_text;
        };
        m_result.m_caller_address = read("caller");
        m_result.m_readiness_address = read("readiness");
        m_result.m_peer_address = read("peer");
        m_result.m_metrics_address = read("metrics");
        // Where the platform names no port for it, none follows the address.
        auto const tunnel = reader.text("tunnel");
        if (tunnel && !tunnel->m_text.ends_with(':'))
        {
            m_result.m_tunnel_address = read("tunnel");
        }
        reader.finish();
    }

    void read_store()
    {
        table_reader reader = section("store");
        m_result.m_store_address = reader.required_address("address").m_text;
        m_result.m_store_timeout = reader.duration_ms(
            "timeout_ms", m_result.m_store_timeout, interval_range);
        m_result.m_read_interval = reader.duration_ms(
            "read_interval_ms", m_result.m_read_interval, interval_range);
        reader.finish();
    }

    void read_peers()
    {
        table_reader reader = section("peers");
        for (placed_text const& item : reader.texts("seeds"))
        {
            if (!is_address(item.m_text))
            {
                reader.report(item.m_place, "a seed must be \"IP:port\", not " +
                                                quoted(item.m_text));
            }
            m_result.m_seeds.push_back(item.m_text);
        }
        m_result.m_news_interval = reader.duration_ms(
            "news_interval_ms", m_result.m_news_interval, interval_range);
        reader.finish();
    }

    void read_bounds()
    {
        table_reader reader = section("bounds");
        m_result.m_key_validity = reader.duration_ms(
            "key_validity_ms", m_result.m_key_validity, validity_range);
        m_result.m_configuration_apply =
            reader.duration_ms("configuration_apply_ms",
                               m_result.m_configuration_apply, validity_range);
        m_result.m_order_handover = reader.duration_ms(
            "order_handover_ms", m_result.m_order_handover, interval_range);
        m_result.m_weights_max_age = reader.duration_ms(
            "weights_max_age_ms", m_result.m_weights_max_age, validity_range);
        read_fraction(reader, "retry_ratio", max_ratio, m_result.m_retry_ratio);
        m_result.m_retry_extra =
            reader.number("retry_extra", m_result.m_retry_extra, extra_range);
        m_result.m_retry_window = std::chrono::seconds(
            reader.number("retry_window_s",
                          std::chrono::duration_cast<std::chrono::seconds>(
                              m_result.m_retry_window)
                              .count(),
                          window_range));
        m_result.m_grace = std::chrono::seconds(reader.number(
            "grace_s",
            std::chrono::duration_cast<std::chrono::seconds>(m_result.m_grace)
                .count(),
            window_range));
        reader.finish();
        table_reader orders = section("orders");
        m_result.m_load_percent = orders.number(
            "load_percent", m_result.m_load_percent, percent_range);
        orders.finish();
    }

    void read_limits()
    {
        table_reader reader = section("limits");
        m_result.m_memory_mb =
            reader.number("memory_mb", m_result.m_memory_mb, memory_range);
        m_result.m_descriptors = reader.number(
            "descriptors", m_result.m_descriptors, descriptor_range);
        m_result.m_caller_memory_percent =
            reader.number("caller_memory_percent",
                          m_result.m_caller_memory_percent, percent_range);
        reader.finish();
    }

    /** Reads a fraction, which is written in quotes. */
    static void read_fraction(table_reader& reader, char const* key,
                              double most, double& result)
    {
        auto const text = reader.text(key);
        if (!text)
        {
            return;
        }
        char const* const end = text->m_text.data() + text->m_text.size();
        double value = 0;
        auto const parsed = std::from_chars(text->m_text.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end || !(value >= 0) ||
            value > most)
        {
            reader.report(text->m_place,
                          quoted(key) + " must be a number from 0 to " +
                              std::to_string(static_cast<int>(most)) +
                              " in quotes, not " + quoted(text->m_text));
            return;
        }
        result = value;
    }

    void read_log()
    {
        table_reader reader = section("log");
        if (reader.choice("level", {"debug", "info", "warning", "error"}))
        {
            m_result.m_log_level = reader.text("level")->m_text;
        }
        reader.finish();
    }

    entry_settings m_result;
};

} // namespace

entry_settings parse_entry_settings(std::string_view text,
                                    std::string const& file_name)
{
    toml::table const document = parse_document(text, file_name);
    return entry_settings_reader(document, file_name).read();
}

entry_settings parse_rendered_entry_settings(std::string_view text,
                                             std::string const& file_name,
                                             std::vector<std::string>& warnings)
{
    toml::table document = parse_document(text, file_name);
    repair_rendered_document(document, warnings);
    return entry_settings_reader(document, file_name).read();
}

} // namespace daisylead::config
