/** @file Authorisation of callers for one configuration. */
#include <daisylead/access/access_table_base.hpp>

#include <algorithm>
#include <cstring>

namespace daisylead::access
{

namespace
{

std::string without_trailing_slash(std::string_view path)
{
    if (path.ends_with('/'))
    {
        path.remove_suffix(1);
    }
    return std::string(path);
}

using organisation_set = std::unordered_set<organisation_id>;

/** @return all models and adapters, each with the organisations that it is
 *  reserved for; an empty set means all organisations. */
std::unordered_map<model_id, organisation_set>
map_model_reservations(config::configuration const& configuration)
{
    std::unordered_map<model_id, organisation_set> models;
    for (config::model const& item : configuration.m_models)
    {
        models.emplace(item.m_id, organisation_set());
    }
    for (config::adapter const& item : configuration.m_adapters)
    {
        models.emplace(model_id(item.m_id.value()),
                       organisation_set(item.m_organisations.begin(),
                                        item.m_organisations.end()));
    }
    return models;
}

} // namespace

std::size_t key_digest_hash::operator()(key_digest const& digest) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.m_bytes.data(), sizeof hash);
    return hash;
}

access_table::access_table(config::configuration const& configuration)
{
    m_keys.reserve(configuration.m_keys.size());
    for (config::access_key const& key : configuration.m_keys)
    {
        m_keys.emplace(key.m_digest, key.m_organisation);
    }
    add_routes(configuration);
    add_grants(configuration);
}

void access_table::add_routes(config::configuration const& configuration)
{
    for (config::route const& item : configuration.m_routes)
    {
        m_open.emplace(item.m_id, item.m_open);
        std::string const path = without_trailing_slash(item.m_path);
        m_max_path_length = std::max(m_max_path_length, path.size());
        m_paths.emplace(path, item.m_id);
    }
}

void access_table::add_grants(config::configuration const& configuration)
{
    auto const models = map_model_reservations(configuration);
    m_grants.reserve(configuration.m_organisations.size());
    for (config::organisation const& item : configuration.m_organisations)
    {
        grants& granted = m_grants[item.m_id];
        for (model_id const& name : item.m_models)
        {
            auto const found = models.find(name);
            if (found != models.end() &&
                (found->second.empty() || found->second.contains(item.m_id)))
            {
                granted.m_models.insert(name);
            }
        }
        granted.m_routes.insert(item.m_routes.begin(), item.m_routes.end());
    }
}

organisation_id const*
access_table::find_organisation(key_digest const& digest) const
{
    auto const found = m_keys.find(digest);
    return found == m_keys.end() ? nullptr : &found->second;
}

bool access_table::may_use_model(organisation_id const& organisation,
                                 model_id const& name) const
{
    auto const found = m_grants.find(organisation);
    return found != m_grants.end() && found->second.m_models.contains(name);
}

bool access_table::may_use_route(organisation_id const& organisation,
                                 route_id const& route) const
{
    auto const known = m_open.find(route);
    if (known == m_open.end())
    {
        return false;
    }
    auto const found = m_grants.find(organisation);
    return known->second ||
           (found != m_grants.end() && found->second.m_routes.contains(route));
}

bool access_table::is_open(route_id const& route) const
{
    auto const found = m_open.find(route);
    return found != m_open.end() && found->second;
}

route_id const* access_table::find_route(std::string_view path) const
{
    std::string prefix = without_trailing_slash(path);
    while (!prefix.empty())
    {
        // Skips prefixes that cannot match; hashing each prefix of a long path
        // would take quadratic time.
        auto const found = prefix.size() <= m_max_path_length
                               ? m_paths.find(prefix)
                               : m_paths.end();
        if (found != m_paths.end())
        {
            return &found->second;
        }
        std::size_t const slash = prefix.rfind('/');
        prefix.resize(slash == std::string::npos ? 0 : slash);
    }
    return nullptr;
}

std::vector<key_digest>
access_table::find_revoked_keys(access_table const& next) const
{
    std::vector<key_digest> revoked;
    for (auto const& [digest, organisation] : m_keys)
    {
        organisation_id const* owner = next.find_organisation(digest);
        if (owner == nullptr || *owner != organisation)
        {
            revoked.push_back(digest);
        }
    }
    std::sort(revoked.begin(), revoked.end(),
              [](key_digest const& a, key_digest const& b)
              { return a.m_bytes < b.m_bytes; });
    return revoked;
}

} // namespace daisylead::access
