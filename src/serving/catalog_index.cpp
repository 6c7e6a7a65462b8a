/** @file Lookup of routes, keys and services in a configuration snapshot. */
#include <daisylead/serving/catalog_index_base.hpp>

#include <algorithm>
#include <cstring>

namespace daisylead::serving
{

namespace
{

std::string host_name(std::string const& host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

std::size_t
catalog_index::digest_hash::operator()(access::key_digest const& digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.m_bytes.data(), sizeof hash);
    return hash;
}

catalog_index::catalog_index(catalog content) : m_content(std::move(content))
{
    for (route const& item : m_content.m_routes)
    {
        m_by_host[item.m_host].push_back(&item);
    }
    for (auto& [host, routes] : m_by_host)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](route const* a, route const* b)
                         { return a->m_prefix.size() > b->m_prefix.size(); });
    }
    for (organisation const& owner : m_content.m_organisations)
    {
        for (std::string const& key : owner.m_keys)
        {
            m_by_key.emplace(access::digest_key(key), &owner);
        }
    }
    for (service const& item : m_content.m_services)
    {
        m_by_service.emplace(item.m_id, &item);
        if (item.m_engine)
        {
            m_classes.emplace(item.m_id, request_classes(m_content, item.m_id));
        }
    }
}

route const* catalog_index::find_route(std::string const& host,
                                       std::string const& path) const
{
    auto const found = m_by_host.find(host_name(host));
    if (found == m_by_host.end())
    {
        return nullptr;
    }
    auto const match = std::find_if(found->second.begin(), found->second.end(),
                                    [&path](route const* item) {
                                        return path.starts_with(item->m_prefix);
                                    });
    return match == found->second.end() ? nullptr : *match;
}

organisation const* catalog_index::find_owner(std::string const& key) const
{
    auto const found = m_by_key.find(access::digest_key(key));
    return found == m_by_key.end() ? nullptr : found->second;
}

service const* catalog_index::find_service(service_id const& id) const
{
    auto const found = m_by_service.find(id);
    return found == m_by_service.end() ? nullptr : found->second;
}

std::vector<request_class> const&
catalog_index::classes_of(service_id const& service) const
{
    static std::vector<request_class> const none;
    auto const found = m_classes.find(service);
    return found == m_classes.end() ? none : found->second;
}

} // namespace daisylead::serving
