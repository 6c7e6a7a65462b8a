/** @file Tracking of requests that are suspected of crashing upstreams. */
#include <daisylead/request/quarantine_base.hpp>

#include "broken_attempts.hpp"

#include <algorithm>

namespace daisylead::request
{

namespace
{

/** Crashes of distinct incarnations after which a request is refused. */
constexpr std::size_t crashes_to_refuse = 2;
} // namespace

quarantine::quarantine(quarantine_options options)
    : m_options(options), m_suspects(options.m_max_organisations)
{
}

void quarantine::set_period(duration period)
{
    m_options.m_period = period;
}

void quarantine::attempt_begun(attempt_id const& attempt,
                               suspect_id const& request,
                               upstream_incarnation const& target)
{
    m_in_flight.insert_or_assign(attempt, tracked_attempt{request, target, {}});
}

std::vector<quarantine_update>
quarantine::attempt_ended(attempt_id const& attempt, attempt_outcome outcome,
                          time_point now)
{
    auto ended = m_in_flight.extract(attempt);
    if (!ended)
    {
        return {};
    }
    tracked_attempt& item = ended.mapped();
    drop_expired_attempts(m_recently_broken, now);
    if (outcome == attempt_outcome::complete)
    {
        m_recently_broken.remove_if(
            [&](tracked_attempt const& other)
            { return other.m_request == item.m_request; });
        return clear(item.m_request, now)
                   ? std::vector<quarantine_update>{{item.m_request,
                                                     item.m_target, true}}
                   : std::vector<quarantine_update>{};
    }
    if (outcome == attempt_outcome::broken ||
        outcome == attempt_outcome::timed_out)
    {
        item.m_broken_at = now;
        m_recently_broken.push_back(std::move(item));
    }
    return {};
}

std::vector<quarantine_update>
quarantine::upstream_crashed(upstream_incarnation const& crash, time_point now)
{
    drop_expired_attempts(m_recently_broken, now);
    std::vector<quarantine_update> updates;
    auto const add = [&](tracked_attempt const& item)
    {
        bool const reported =
            std::any_of(updates.begin(), updates.end(),
                        [&](quarantine_update const& other)
                        { return other.m_suspect == item.m_request; });
        if (item.m_target == crash && !reported)
        {
            add_crash(item.m_request, crash, now);
            updates.push_back({item.m_request, crash, false});
        }
    };
    for (auto const& [attempt, item] : m_in_flight)
    {
        add(item);
    }
    for (tracked_attempt const& item : m_recently_broken)
    {
        add(item);
    }
    m_recently_broken.remove_if([&](tracked_attempt const& item)
                                { return item.m_target == crash; });
    return updates;
}

void quarantine::on_peer_update(quarantine_update const& update, time_point now)
{
    if (update.m_cleared)
    {
        clear(update.m_suspect, now);
        return;
    }
    add_crash(update.m_suspect, update.m_crash, now);
}

quarantine_decision quarantine::check(suspect_id const& request, time_point now)
{
    suspect const* const item = find(request, now);
    if (item != nullptr && item->m_crashes.size() >= crashes_to_refuse)
    {
        return {quarantine_verdict::refused, item->m_expires_at - now};
    }
    return {is_suspected(request, now) ? quarantine_verdict::isolated
                                       : quarantine_verdict::allowed,
            {}};
}

bool quarantine::has_suspect_in_flight(upstream_id const& upstream,
                                       time_point now)
{
    return std::any_of(m_in_flight.begin(), m_in_flight.end(),
                       [&](auto const& entry)
                       {
                           tracked_attempt const& item = entry.second;
                           return item.m_target.m_upstream == upstream &&
                                  is_suspected(item.m_request, now);
                       });
}

bool quarantine::is_suspected(suspect_id const& request, time_point now)
{
    // A retry follows at once, often before the crash is detected, so a broken
    // attempt alone makes a request a suspect.
    return find(request, now) != nullptr ||
           std::any_of(m_recently_broken.begin(), m_recently_broken.end(),
                       [&](tracked_attempt const& item)
                       {
                           return item.m_request == request &&
                                  item.m_broken_at + crash_detection_delay >=
                                      now;
                       });
}

quarantine::suspect* quarantine::find(suspect_id const& request, time_point now)
{
    digest_map* const digests = m_suspects.find(request.m_organisation);
    suspect* const item =
        digests == nullptr ? nullptr : digests->find(request.m_digest);
    if (item != nullptr && item->m_expires_at <= now)
    {
        digests->erase(request.m_digest);
        return nullptr;
    }
    return item;
}

void quarantine::add_crash(suspect_id const& request,
                           upstream_incarnation const& crash, time_point now)
{
    suspect* item = find(request, now);
    if (item == nullptr)
    {
        item = &m_suspects
                    .get_or_insert(request.m_organisation,
                                   digest_map(m_options.m_max_digests))
                    .get_or_insert(request.m_digest, {});
    }
    // Late reports must not extend a refusal in force.
    if (item->m_crashes.size() < crashes_to_refuse &&
        item->m_crashes.insert(crash).second)
    {
        item->m_expires_at = now + m_options.m_period;
    }
}

bool quarantine::clear(suspect_id const& request, time_point now)
{
    suspect const* const item = find(request, now);
    if (item == nullptr || item->m_crashes.size() >= crashes_to_refuse)
    {
        return false;
    }
    m_suspects.find(request.m_organisation)->erase(request.m_digest);
    return true;
}

} // namespace daisylead::request
