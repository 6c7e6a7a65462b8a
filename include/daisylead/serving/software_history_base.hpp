/** @file Software versions that the upstreams of a service had lately. */
#pragma once

#include <daisylead/serving/catalog_type.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace daisylead::serving
{

/** When a software version was last in use in a service. */
struct software_use
{
    service_id m_service;        ///< the service
    software_version m_software; ///< version of its upstreams
    time_point m_last_used;      ///< not before the real time
};

/** What an instance knows of the software in use, to hand to a peer. */
struct software_report
{
    time_point m_since; ///< from here on no version is missing
    time_point m_until; ///< up to here
    std::vector<software_use> m_uses;
};

/** Records which software versions the upstreams of each service had, from
 *  service discovery. Any instance may have used a version as long as it was
 *  listed, so a version that is gone counts until the read that first lacks
 *  it. */
class software_history
{
public:
    /** @param max_gap time without a read after which an upstream may have
     *         come and gone unseen */
    explicit software_history(duration max_gap);

    /** Records a list.
     *  @param read_at when its read was sent */
    void note_list(std::vector<upstream_record> const& list,
                   time_point read_at);

    /** Adds what a peer knows, if its time adjoins that of this instance. */
    void merge(software_report const& report);

    /** @return what is known; nothing before the first list. */
    std::optional<software_report> report() const;

    /** @return the version that all upstreams of the service had from @p since
     *          to @p now; nothing if there were several or it is not known */
    std::optional<software_version> sole_version(service_id const& service,
                                                 time_point since,
                                                 time_point now) const;

    /** @return versions listed now, by service. */
    std::map<service_id, std::set<software_version>> const& listed() const
    {
        return m_listed;
    }

private:
    duration m_max_gap;
    std::optional<time_point> m_since; ///< start of the known time
    time_point m_until;                ///< its end: the newest read
    std::map<service_id, std::map<software_version, time_point>> m_last_used;
    std::map<service_id, std::set<software_version>> m_listed;
};

} // namespace daisylead::serving
