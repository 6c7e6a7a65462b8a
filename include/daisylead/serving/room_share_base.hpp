/** @file Share of an instance in the free memory of engines. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <map>

namespace daisylead::serving
{

/** Limits what one instance sends to nearly full engines. All instances see the
 *  same free memory in the same old news; each uses its equal part of it until
 *  the next news. What some leave unused stays free and enlarges the parts of
 *  all in the next news.
 *
 *  Designed for an overload in which all instances would otherwise fill the few
 *  engines that were not full in the last news. */
class room_share
{
public:
    /** Sets how many instances share, and how old the news is that shows what
     *  they sent. */
    void set_fleet(std::int64_t instances, duration news_age);

    /** Uses a part of the free memory for a request.
     *  @param room_limit identifies the requests that share the same room
     *  @param free memory of all engines that is free up to the limit
     *  @return whether the part of this instance suffices */
    bool take(double room_limit, token_count needed, token_count free,
              time_point now);

private:
    struct credit
    {
        double m_tokens = 0;
        /** Largest request that was refused lately; its credit is kept while
         *  smaller requests come. */
        double m_unmet = 0;
        time_point m_unmet_at;
        time_point m_updated_at;
    };

    std::int64_t m_instances = 1;
    duration m_news_age{};
    std::map<double, credit> m_credits; ///< by room limit
};

} // namespace daisylead::serving
