/** @file Attribution of upstream crashes to prompt parts. */
#include <daisylead/request/part_quarantine_base.hpp>

#include "broken_attempts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace daisylead::request
{

namespace
{

bool contains(std::span<part_digest const> parts, part_digest part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

part_digest digest_of_part(std::string const& id)
{
    return part_digest(XXH64(id.data(), id.size(), 0));
}

part_quarantine::part_quarantine(part_quarantine_options options)
    : m_options(options)
{
}

void part_quarantine::attempt_begun(attempt_id const& attempt,
                                    std::vector<part_digest> parts,
                                    upstream_incarnation const& target)
{
    m_in_flight.insert_or_assign(
        attempt, tracked_attempt{std::move(parts), target, std::nullopt, {}});
}

void part_quarantine::answer_begun(attempt_id const& attempt, time_point now)
{
    auto const found = m_in_flight.find(attempt);
    if (found != m_in_flight.end() && !found->second.m_answer_begun_at)
    {
        found->second.m_answer_begun_at = now;
    }
}

std::vector<part_digest>
part_quarantine::attempt_ended(attempt_id const& attempt,
                               attempt_outcome outcome, time_point now)
{
    std::vector<part_digest> refuted;
    auto ended = m_in_flight.extract(attempt);
    if (!ended)
    {
        return refuted;
    }
    tracked_attempt& item = ended.mapped();
    if (outcome == attempt_outcome::complete)
    {
        for (part_digest const part : item.m_parts)
        {
            if (refute(part))
            {
                refuted.push_back(part);
            }
        }
    }
    else if (outcome == attempt_outcome::broken)
    {
        item.m_broken_at = now;
        m_recently_broken.push_back(std::move(item));
    }
    drop_expired_attempts(m_recently_broken, now);
    return refuted;
}

crash_report
part_quarantine::upstream_crashed(upstream_incarnation const& crash,
                                  time_point now)
{
    std::set<part_digest> parts;
    drop_expired_attempts(m_recently_broken, now);
    for (tracked_attempt const& item : m_recently_broken)
    {
        bool const was_beginning = !item.m_answer_begun_at ||
                                   item.m_broken_at - *item.m_answer_begun_at <=
                                       m_options.m_answer_begin;
        if (item.m_target == crash && was_beginning)
        {
            parts.insert(item.m_parts.begin(), item.m_parts.end());
        }
    }
    upstream_reached(crash);
    crash_report report{crash, {parts.begin(), parts.end()}};
    on_peer_crash(report, now);
    return report;
}

void part_quarantine::upstream_reached(upstream_incarnation const& target)
{
    m_recently_broken.remove_if([&](tracked_attempt const& item)
                                { return item.m_target == target; });
}

void part_quarantine::on_peer_crash(crash_report const& report, time_point now)
{
    if (report.m_parts.empty())
    {
        return;
    }
    std::size_t const slot = slot_of(report.m_crash, now);
    for (part_digest const part : report.m_parts)
    {
        add_crash(part, slot, now);
    }
}

void part_quarantine::on_peer_answers(std::span<part_digest const> parts)
{
    for (part_digest const part : parts)
    {
        refute(part);
    }
}

std::vector<part_digest>
part_quarantine::on_blocked_parts(std::span<blocked_part const> parts,
                                  time_point now)
{
    std::vector<part_digest> refuted;
    for (blocked_part const& entry : parts)
    {
        crash_set crashes;
        for (upstream_incarnation const& crash : entry.m_crashes)
        {
            crashes.set(slot_of(crash, now));
        }
        suspect& item = get_or_insert(entry.m_part, now);
        bool const is_refuted = !item.m_blocked && item.m_refuted.any() &&
                                (crashes & ~item.m_refuted).none();
        if (is_refuted)
        {
            refuted.push_back(entry.m_part);
            continue;
        }
        item.m_counted |= crashes & ~item.m_refuted;
        if (!item.m_blocked)
        {
            item.m_blocked = true;
            item.m_requested_at = now;
            item.m_last_crash_at = now;
        }
        item.m_stored = item.m_stored || entry.m_stored;
    }
    return refuted;
}

std::optional<part_digest>
part_quarantine::find_blocked(std::span<part_digest const> parts,
                              time_point now)
{
    for (part_digest const part : parts)
    {
        auto const found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.m_blocked &&
            is_blamed(part, found->second, parts, now))
        {
            found->second.m_requested_at = now;
            return part;
        }
    }
    return std::nullopt;
}

bool part_quarantine::is_blamed(part_digest part, suspect const& item,
                                std::span<part_digest const> parts,
                                time_point now) const
{
    if (item.m_counted.none())
    {
        return true; // Its crashes are no longer remembered.
    }
    // A part that mostly comes together with the cause shares its crashes. A
    // request without that other part may go: it either completes and refutes
    // the crashes of this part, or its crash tells the two apart.
    crash_set unexplained = item.m_counted;
    for (auto const& [other_part, other] : m_suspects)
    {
        if (other.m_blocked && other_part != part &&
            !contains(parts, other_part) &&
            other.m_counted.count() >= item.m_counted.count())
        {
            unexplained &= ~other.m_counted;
        }
    }
    return unexplained == item.m_counted ||
           count_moments(unexplained, now) >= m_options.m_moments_to_block;
}

void part_quarantine::note_stored(part_digest part)
{
    auto const found = m_suspects.find(part);
    if (found != m_suspects.end())
    {
        found->second.m_stored = true;
    }
}

void part_quarantine::note_store_restored()
{
    for (auto& [part, item] : m_suspects)
    {
        item.m_stored = false;
    }
}

std::vector<part_digest> part_quarantine::take_expired(time_point now)
{
    std::vector<part_digest> expired;
    for (auto it = m_suspects.begin(); it != m_suspects.end();)
    {
        suspect const& item = it->second;
        bool const ended =
            item.m_blocked
                ? now - item.m_requested_at >= m_options.m_block_period
                : now - item.m_last_crash_at >= m_options.m_crash_ttl;
        if (ended && item.m_blocked)
        {
            expired.push_back(it->first);
        }
        it = ended ? m_suspects.erase(it) : std::next(it);
    }
    return expired;
}

std::vector<blocked_part> part_quarantine::blocked_parts() const
{
    std::vector<blocked_part> parts;
    for (auto const& [part, item] : m_suspects)
    {
        if (!item.m_blocked)
        {
            continue;
        }
        blocked_part entry{part, {}, item.m_stored};
        for (std::size_t slot = 0; slot < m_crashes.size(); ++slot)
        {
            if (item.m_counted.test(slot))
            {
                entry.m_crashes.push_back(m_crashes[slot].m_crash);
            }
        }
        parts.push_back(std::move(entry));
    }
    return parts;
}

std::uint64_t part_quarantine::blocked_digest() const
{
    std::uint64_t digest = 0;
    for (auto const& [part, item] : m_suspects)
    {
        if (item.m_blocked)
        {
            auto const value = static_cast<std::uint64_t>(part);
            digest += XXH64(&value, sizeof value, item.m_stored ? 2 : 1);
        }
    }
    return digest;
}

std::size_t part_quarantine::slot_of(upstream_incarnation const& crash,
                                     time_point now)
{
    auto const known = std::find_if(m_crashes.begin(), m_crashes.end(),
                                    [&](known_crash const& item)
                                    { return item.m_crash == crash; });
    if (known != m_crashes.end())
    {
        return static_cast<std::size_t>(known - m_crashes.begin());
    }
    if (m_crashes.size() < max_crashes)
    {
        m_crashes.push_back({crash, now});
        return m_crashes.size() - 1;
    }
    auto const oldest =
        std::min_element(m_crashes.begin(), m_crashes.end(),
                         [](known_crash const& a, known_crash const& b)
                         { return a.m_at < b.m_at; });
    auto const slot = static_cast<std::size_t>(oldest - m_crashes.begin());
    drop_slot(slot);
    *oldest = {crash, now};
    return slot;
}

void part_quarantine::drop_slot(std::size_t slot)
{
    for (auto& [part, item] : m_suspects)
    {
        item.m_counted.reset(slot);
        item.m_refuted.reset(slot);
    }
}

void part_quarantine::add_crash(part_digest part, std::size_t slot,
                                time_point now)
{
    suspect& item = get_or_insert(part, now);
    if (item.m_counted.test(slot) || item.m_refuted.test(slot))
    {
        return;
    }
    item.m_counted.set(slot);
    item.m_last_crash_at = now;
    if (!item.m_blocked &&
        count_moments(item.m_counted, now) >= m_options.m_moments_to_block)
    {
        item.m_blocked = true;
        item.m_requested_at = now;
    }
}

part_quarantine::suspect& part_quarantine::get_or_insert(part_digest part,
                                                         time_point now)
{
    auto const found = m_suspects.find(part);
    if (found != m_suspects.end())
    {
        return found->second;
    }
    if (m_suspects.size() >= m_options.m_max_suspects)
    {
        evict_one();
    }
    suspect item;
    item.m_last_crash_at = now;
    item.m_requested_at = now;
    return m_suspects.emplace(part, item).first->second;
}

void part_quarantine::evict_one()
{
    // The weakest evidence goes first, so that invented parts cannot displace
    // the cause of several crashes.
    auto const weaker = [](auto const& a, auto const& b)
    {
        suspect const& x = a.second;
        suspect const& y = b.second;
        return std::tuple(x.m_blocked, x.m_counted.count(), x.m_last_crash_at) <
               std::tuple(y.m_blocked, y.m_counted.count(), y.m_last_crash_at);
    };
    m_suspects.erase(
        std::min_element(m_suspects.begin(), m_suspects.end(), weaker));
}

bool part_quarantine::refute(part_digest part)
{
    auto const found = m_suspects.find(part);
    if (found == m_suspects.end() || found->second.m_counted.none())
    {
        return false;
    }
    suspect& item = found->second;
    item.m_refuted |= item.m_counted;
    item.m_counted.reset();
    item.m_blocked = false;
    item.m_stored = false;
    return true;
}

std::size_t part_quarantine::count_moments(crash_set const& crashes,
                                           time_point now) const
{
    std::vector<time_point> times;
    for (std::size_t slot = 0; slot < m_crashes.size(); ++slot)
    {
        if (crashes.test(slot) &&
            now - m_crashes[slot].m_at < m_options.m_crash_ttl)
        {
            times.push_back(m_crashes[slot].m_at);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    time_point counted{};
    for (time_point const at : times)
    {
        if (moments == 0 || at - counted >= m_options.m_moment_length)
        {
            ++moments;
            counted = at;
        }
    }
    return moments;
}

} // namespace daisylead::request
