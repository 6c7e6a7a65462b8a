/** @file Reading of the settings of a process. */
#include "section_reader.hpp"

#include <daisylead/config/parse_func.hpp>

#include <set>

namespace daisylead::config
{

namespace
{

constexpr value_range timeout_range{1, 3600000};           ///< ms
constexpr value_range poll_range{10, 3000};                ///< ms
constexpr value_range drain_range{0, 600000};              ///< ms
constexpr value_range body_range{1024, 64 << 20};          ///< bytes
constexpr value_range header_range{1024, 1 << 20};         ///< bytes
constexpr value_range stream_buffer_range{4096, 16 << 20}; ///< bytes

/** Shorter tokens can be guessed by trying them out over the network. */
constexpr std::size_t min_operator_token = 16; ///< characters

class settings_reader : private section_reader
{
public:
    using section_reader::section_reader;

    settings read()
    {
        read_instance();
        read_listen();
        read_platform();
        read_peers();
        read_limits();
        read_tls();
        read_log();
        read_operator();
        report_unknown_sections();
        m_findings.throw_if_any();
        return std::move(m_result);
    }

private:
    void read_instance()
    {
        table_reader reader = section("instance");
        m_result.m_instance = instance_id(reader.required_id("id", "/").m_text);
        m_result.m_zone = zone_id(reader.required_id("zone").m_text);
        m_result.m_region = region_id(reader.required_id("region").m_text);
        reader.finish();
    }

    void read_listen()
    {
        table_reader reader = section("listen");
        std::set<std::string> seen;
        auto const read = [&](char const* key)
        {
            placed_text const address = reader.required_address(key);
            if (!address.m_text.empty() && !seen.insert(address.m_text).second)
            {
                reader.report(address.m_place,
                              "two ports of [listen] have the address " +
                                  quoted(address.m_text));
            }
            return address.m_text;
        };
        m_result.m_caller_address = read("caller");
        m_result.m_operator_address = read("operator");
        m_result.m_peer_address = read("peer");
        reader.finish();
    }

    void read_platform()
    {
        table_reader reader = section("platform");
        m_result.m_platform_address = reader.required_address("address").m_text;
        m_result.m_platform_timeout = reader.duration_ms(
            "timeout_ms", m_result.m_platform_timeout, timeout_range);
        m_result.m_poll_interval = reader.duration_ms(
            "poll_interval_ms", m_result.m_poll_interval, poll_range);
        reader.finish();
    }

    void read_peers()
    {
        table_reader reader = section("peers");
        for (placed_text const& item : reader.texts("addresses"))
        {
            if (!is_address(item.m_text))
            {
                reader.report(item.m_place, "a peer must be \"IP:port\", not " +
                                                quoted(item.m_text));
            }
            m_result.m_peers.push_back(item.m_text);
        }
        reader.finish();
    }

    void read_limits()
    {
        table_reader reader = section("limits");
        settings& result = m_result;
        auto const bytes =
            [&](char const* key, byte_count& value, value_range range)
        {
            value = byte_count(reader.number(key, value.value(), range));
        };
        auto const timeout = [&](char const* key, settings::milliseconds& value)
        {
            value = reader.duration_ms(key, value, timeout_range);
        };
        bytes("max_body_bytes", result.m_max_body, body_range);
        bytes("max_header_bytes", result.m_max_header, header_range);
        bytes("stream_buffer_bytes", result.m_stream_buffer,
              stream_buffer_range);
        timeout("caller_idle_timeout_ms", result.m_idle_timeout);
        timeout("caller_write_timeout_ms", result.m_write_timeout);
        timeout("connect_timeout_ms", result.m_connect_timeout);
        timeout("upstream_idle_timeout_ms", result.m_upstream_idle_timeout);
        result.m_drain_delay = reader.duration_ms(
            "drain_delay_ms", result.m_drain_delay, drain_range);
        reader.finish();
    }

    void read_tls()
    {
        table_reader reader = section("tls");
        bool const certificate = reader.has("certificate");
        if (certificate || reader.has("key"))
        {
            m_result.m_tls_certificate =
                reader.required_text("certificate").m_text;
            m_result.m_tls_key = reader.required_text("key").m_text;
        }
        reader.finish();
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

    void read_operator()
    {
        table_reader reader = section("operator");
        if (auto const token = reader.text("token"))
        {
            check_token(reader, *token);
            m_result.m_operator_token = token->m_text;
        }
        reader.finish();
    }

    /** The messages do not repeat the token, as findings are logged. */
    static void check_token(table_reader& reader, placed_text const& token)
    {
        bool const printable =
            token.m_text.find_first_not_of(
                "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                "0123456789-._~+/=") == std::string::npos;
        if (!printable)
        {
            reader.report(token.m_place,
                          "\"token\" may only have letters, digits and "
                          "-._~+/=, as it is sent in a header");
        }
        if (!token.m_text.empty() && token.m_text.size() < min_operator_token)
        {
            reader.report(token.m_place,
                          "\"token\" must have at least " +
                              std::to_string(min_operator_token) +
                              " characters");
        }
    }

    settings m_result;
};

} // namespace

settings parse_settings(std::string_view text, std::string const& file_name)
{
    toml::table const document = parse_document(text, file_name);
    return settings_reader(document, file_name).read();
}

} // namespace daisylead::config
