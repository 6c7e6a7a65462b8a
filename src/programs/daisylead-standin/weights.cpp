/** @file Models of the engine stand-in and the orders that change them. */
#include "weights_base.hpp"

#include <daisylead/base/error_type.hpp>

namespace daisylead::standin
{

namespace
{

constexpr milliseconds retry_delay{200};
constexpr std::size_t max_reply = 1U << 20U; ///< bytes

} // namespace

weights::weights(asio::io_context& context, options const& options)
    : m_context(context), m_options(options),
      m_any_model(options.m_models.empty() && !options.m_empty)
{
    if (!m_options.m_platform.empty())
    {
        m_client = std::make_unique<http::client>();
    }
    for (std::string const& item : m_options.m_models)
    {
        std::size_t const equals = item.find('=');
        if (equals == std::string::npos)
        {
            throw error("'" + item + "' is not model=version");
        }
        load(item.substr(0, equals), item.substr(equals + 1));
    }
}

bool weights::serves(std::string const& id) const
{
    return m_any_model || m_loaded.contains(id);
}

bool weights::matches(std::string const& id, std::string const& version) const
{
    auto const found = m_loaded.find(id);
    return version.empty() || found == m_loaded.end() ||
           found->second == version;
}

bool weights::order(nlohmann::json const& body)
{
    std::int64_t const fence = integer_of(body, "fence", 0);
    auto const kind = body.at("order").get<std::string>();
    bool const is_stale = fence < m_fence;
    if (kind == "load_model" || kind == "load_adapter")
    {
        char const* const name = kind == "load_model" ? "model" : "adapter";
        auto const id = body.at(name).get<std::string>();
        auto const version = body.at("weights_version").get<std::string>();
        m_stale_orders += is_stale ? 1 : 0;
        if (is_stale && m_options.m_fenced)
        {
            return false;
        }
        load(id, version);
    }
    else if (kind == "set_role")
    {
        auto const role = body.at("role").get<std::string>();
        m_stale_orders += is_stale ? 1 : 0;
        if (is_stale && m_options.m_fenced)
        {
            return false;
        }
        m_role = role;
    }
    else
    {
        throw error("unknown order '" + kind + "'");
    }
    m_fence = std::max(m_fence, fence);
    ++m_orders;
    return true;
}

nlohmann::json weights::state() const
{
    return {{"fence", m_fence},     {"fenced", m_options.m_fenced},
            {"role", m_role},       {"models", m_loaded},
            {"versions", m_loaded}, {"loading", !m_loading.empty()},
            {"orders", m_orders},   {"stale_orders", m_stale_orders}};
}

void weights::load(std::string const& id, std::string const& version)
{
    auto const found = m_loaded.find(id);
    if (found != m_loaded.end() && found->second == version)
    {
        m_loading.erase(id);
        return;
    }
    if (!m_client)
    {
        m_loaded[id] = version;
        return;
    }
    auto const loading = m_loading.find(id);
    if (loading != m_loading.end() && loading->second == version)
    {
        return;
    }
    m_loading[id] = version;
    fetch(id, version);
}

void weights::fetch(std::string const& id, std::string const& version)
{
    http::client_request request;
    request.m_url =
        "http://" + m_options.m_platform + "/weights/" + id + "/" + version;
    start_whole(*m_client, std::move(request), max_reply,
                [this, id, version](http::client_response const& reply)
                {
                    bool const ok = reply.m_result.m_status ==
                                        http::transfer_status::complete &&
                                    reply.m_result.m_http_status == 200;
                    asio::post(m_context, [this, id, version, ok]
                               { take(id, version, ok); });
                });
}

void weights::take(std::string const& id, std::string const& version, bool ok)
{
    auto const found = m_loading.find(id);
    if (found == m_loading.end() || found->second != version)
    {
        return;
    }
    if (ok)
    {
        m_loading.erase(found);
        m_loaded[id] = version;
        return;
    }
    after(m_context, retry_delay,
          [this, id, version]
          {
              auto const loading = m_loading.find(id);
              if (loading != m_loading.end() && loading->second == version)
              {
                  fetch(id, version);
              }
          });
}

} // namespace daisylead::standin
