/** @file Authorisation of callers for one configuration. */
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

/** Hash of a digest. A part of the digest is a good hash, because digests are
 *  uniformly distributed and callers cannot choose the stored ones. */
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

/** Access rights of all organisations, built once for each configuration.
 *  Immutable, so threads may share it. */
class access_table
{
public:
    /** Creates an empty table, which permits nothing. */
    access_table() = default;

    explicit access_table(config::configuration const& configuration);

    /** @return the organisation that owns the key with @p digest, or null if
     *  the key is unknown or revoked; valid as long as the table. */
    organisation_id const* find_organisation(key_digest const& digest) const;

    /** @param name model or adapter name in a request
     *  @return whether it exists, the organisation lists it, and it is not an
     *  adapter that is reserved for other organisations */
    bool may_use_model(organisation_id const& organisation,
                       model_id const& name) const;

    /** @return whether the route exists and is open or listed by the
     *  organisation. */
    bool may_use_route(organisation_id const& organisation,
                       route_id const& route) const;

    /** @return whether the route exists and can be used without a key. */
    bool is_open(route_id const& route) const;

    /** Finds the route with the longest path that matches a request path. A
     *  route matches its own path and all paths below it ("/stock" matches
     *  "/stock/1", but not "/stocks").
     *  @return the identifier, or null; valid as long as the table */
    route_id const* find_route(std::string_view path) const;

    /** @return the keys of this table that are absent from @p next or belong to
     *  another organisation there. Requests and streams with these keys must
     *  end. */
    std::vector<key_digest> find_revoked_keys(access_table const& next) const;

    std::size_t key_count() const
    {
        return m_keys.size();
    }

private:
    /** Models and routes that one organisation may use. */
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
    std::unordered_map<route_id, bool> m_open; ///< by route
    /** Paths without trailing slash. */
    std::unordered_map<std::string, route_id> m_paths;
    std::size_t m_max_path_length = 0; ///< of all paths
};

} // namespace daisylead::access
