/** @file Authorisation of callers under one configuration. */
#pragma once

#include <daisylead/access/key_digest_type.hpp>
#include <daisylead/base/id_type.hpp>
#include <daisylead/config/configuration_type.hpp>

#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace daisylead::access
{

/** Spreads digests over hash buckets. They are uniform already, and callers
 *  cannot choose the stored ones, so a part of the digest is a good hash. */
struct key_digest_hash
{
    std::size_t operator()(key_digest const& digest) const noexcept;
};

struct key_digest_equal
{
    bool operator()(key_digest const& a, key_digest const& b) const
    {
        return equal_in_constant_time(a, b);
    }
};

/** Who may use what, built once for each configuration. Immutable, so threads
 *  may share it. */
class access_table
{
public:
    /** An empty table, which permits nothing. */
    access_table() = default;

    explicit access_table(config::configuration const& configuration);

    /** @return the organisation that owns the key with @p digest, or null for
     *  a key that is unknown or revoked; valid as long as the table. */
    organisation_id const* find_organisation(key_digest const& digest) const;

    /** @param name a model or an adapter, as callers name it
     *  @return whether it exists, the organisation lists it, and the adapter,
     *  if it is one, is not reserved for others */
    bool may_use_model(organisation_id const& organisation,
                       model_id const& name) const;

    /** @return whether the route exists and is open or listed by the
     *  organisation. */
    bool may_use_route(organisation_id const& organisation,
                       route_id const& route) const;

    /** @return whether the route exists and needs no key. */
    bool is_open(route_id const& route) const;

    /** Finds the route of a request path. A route covers its own path and
     *  everything below it ("/stock" covers "/stock/1", but not "/stocks");
     *  the longest one wins.
     *  @return the identifier, or null; valid as long as the table */
    route_id const* find_route(std::string_view path) const;

    /** @return the keys of this table that @p next lacks or gives to another
     *  organisation; their requests and streams must end. */
    std::vector<key_digest> find_revoked_keys(access_table const& next) const;

    std::size_t key_count() const
    {
        return m_keys.size();
    }

private:
    /** What one organisation may use. */
    struct grants
    {
        std::unordered_set<model_id> m_models;
        std::unordered_set<route_id> m_routes;
    };

    void add_grants(config::configuration const& configuration);
    void add_routes(config::configuration const& configuration);

    std::unordered_map<key_digest, organisation_id, key_digest_hash,
                       key_digest_equal>
        m_keys;
    std::unordered_map<organisation_id, grants> m_grants;
    std::unordered_map<route_id, bool> m_open;         ///< of each route
    std::unordered_map<std::string, route_id> m_paths; ///< without end slash
    std::size_t m_max_path_length = 0; ///< characters, without end slash
};

} // namespace daisylead::access
