/** @file Lookup of routes, keys and services in a configuration snapshot. */
#pragma once

#include <daisylead/access/key_digest_type.hpp>
#include <daisylead/serving/catalog_type.hpp>
#include <daisylead/serving/room_limit_func.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace daisylead::serving
{

/** Index of one configuration snapshot by host and path, by key and by service
 *  id. Immutable. */
class catalog_index
{
public:
    explicit catalog_index(catalog content);
    catalog_index(catalog_index const&) = delete;
    catalog_index& operator=(catalog_index const&) = delete;

    /** @param host with or without a port, in any case
     *  @param path without the query
     *  @return the route with the longest matching prefix, or null */
    route const* find_route(std::string const& host,
                            std::string const& path) const;

    /** @return the organisation that holds the key, or null. */
    organisation const* find_owner(std::string const& key) const;

    /** @return the service, or null. */
    service const* find_service(service_id const& id) const;

    /** @return classes of the prompted requests to the service. */
    std::vector<request_class> const&
    classes_of(service_id const& service) const;

    catalog const& content() const
    {
        return m_content;
    }

private:
    /** Key digests are uniformly distributed, so their first bytes serve as the
     *  hash value. */
    struct digest_hash
    {
        std::size_t operator()(access::key_digest const& digest) const;
    };

    catalog m_content;
    std::unordered_map<std::string, std::vector<route const*>> m_by_host;
    std::unordered_map<access::key_digest, organisation const*, digest_hash>
        m_by_key;
    std::unordered_map<service_id, service const*> m_by_service;
    std::unordered_map<service_id, std::vector<request_class>> m_classes;
};

} // namespace daisylead::serving
