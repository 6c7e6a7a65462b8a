/** @file Fleet-wide rate limits of organisations, by exchange of use. */
#include <daisylead/serving/quota_limiter_base.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisylead::serving
{

namespace
{

/** Uptime up to which all use in the first report of a peer is recent and
 *  charged; shorter than the time after which silent peers are discarded, so
 *  that nothing is charged twice when a peer comes back. */
constexpr duration young_peer_uptime = std::chrono::seconds(10);

/** Time constant of the average use rate of a peer; several report
 *  intervals. */
constexpr duration use_rate_window = std::chrono::seconds(1);

/** Only a fraction of the requests is admitted while the bucket level is below
 *  the refill of this time, at most this fraction of the bucket. Otherwise the
 *  delay of the reports makes the instances alternate between admitting all and
 *  refusing all. */
constexpr duration ramp_refill_time = std::chrono::seconds(1);
constexpr double max_ramp_fraction = 0.5;

/** An organisation that is inside its limit is admitted wholly down to this
 * part of that level. */
constexpr double calm_ramp_part = 0.3;

/** Time constants by which the admitted fraction decays while the bucket is
 *  empty and recovers while it is above the ramp, and its lower bound. */
constexpr duration fraction_decay_time = std::chrono::seconds(1);
constexpr duration fraction_recovery_time = std::chrono::seconds(2);
constexpr double min_admitted_fraction = 0.05;

/** Time constant by which the expected use rate of a removed peer decays. */
constexpr duration dropped_rate_decay_time = std::chrono::seconds(2);

/** Time constant by which the use of removed peers that others may report
 *  decays; their instances report to others within about two seconds. */
constexpr duration dropped_charge_decay_time = std::chrono::seconds(4);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double ramp_of(quota_limit const& limit)
{
    return std::min(limit.m_rate * seconds(ramp_refill_time),
                    limit.m_burst * max_ramp_fraction);
}

} // namespace

quota_limiter::quota_limiter(duration silence_timeout,
                             duration initial_fill_time)
    : m_silence_timeout(silence_timeout), m_initial_fill_time(initial_fill_time)
{
}

void quota_limiter::expect_instances(std::size_t count, time_point until)
{
    m_expected_instances = count;
    m_expected_until = until;
}

void quota_limiter::set_limit(organisation_id const& owner, quota_limit limit,
                              time_point now)
{
    auto const [found, added] = m_buckets.try_emplace(owner);
    bucket& item = found->second;
    if (added)
    {
        item.m_level = limit.m_rate * seconds(m_initial_fill_time);
        item.m_opened = now;
        item.m_updated_at = now;
    }
    else
    {
        advance(owner, item, now);
    }
    item.m_limit = limit;
    item.m_level = std::min(item.m_level, limit.m_burst);
}

std::optional<duration> quota_limiter::charge(organisation_id const& owner,
                                              std::int64_t units,
                                              time_point now)
{
    auto const found = m_buckets.find(owner);
    if (found == m_buckets.end() || found->second.m_limit.m_rate <= 0)
    {
        return std::nullopt;
    }
    bucket& item = found->second;
    advance(owner, item, now);
    // A request larger than the bucket is admitted when the bucket is full and
    // leaves a debt; otherwise it could never run.
    double const needed =
        std::min(static_cast<double>(units), item.m_limit.m_burst);
    double short_of = needed - item.m_level;
    if (short_of <= 0 && item.m_use_rate > 0 && m_news_age > duration::zero())
    {
        // An organisation that is not known to be over its limit may use more
        // of the bucket.
        bool const is_over = item.m_admitted_fraction < 1 ||
                             item.m_use_rate > item.m_limit.m_rate;
        double const ramp =
            ramp_of(item.m_limit) * (is_over ? 1.0 : calm_ramp_part);
        double const fraction =
            ramp > 0 ? std::min(item.m_admitted_fraction, item.m_level / ramp)
                     : 1.0;
        item.m_admission_credit += fraction;
        bool const is_admitted = item.m_admission_credit >= 1;
        item.m_admission_credit -= is_admitted ? 1 : 0;
        short_of = is_admitted ? 0 : (1 - fraction) * ramp;
    }
    if (short_of > 0)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(short_of / item.m_limit.m_rate));
    }
    item.m_level -= static_cast<double>(units);
    item.m_own += units;
    return std::nullopt;
}

std::optional<quota_state>
quota_limiter::state_of(organisation_id const& owner) const
{
    auto const found = m_buckets.find(owner);
    if (found == m_buckets.end() || found->second.m_limit.m_rate <= 0)
    {
        return std::nullopt;
    }
    return quota_state{found->second.m_limit, found->second.m_level};
}

void quota_limiter::refund(organisation_id const& owner, std::int64_t units)
{
    auto const found = m_buckets.find(owner);
    if (found == m_buckets.end() || found->second.m_limit.m_rate <= 0)
    {
        return;
    }
    bucket& item = found->second;
    item.m_level = std::min(item.m_limit.m_burst,
                            item.m_level + static_cast<double>(units));
    item.m_own -= units;
}

void quota_limiter::note_peer(instance_id const& peer, peer_run run,
                              std::vector<quota_use> const& use, time_point now,
                              use_source source)
{
    auto const [found, added] = m_peers.try_emplace(peer);
    peer_use& known = found->second;
    // Compared for inequality only, as the wall clock may be set back.
    bool const is_new_run = added || run.m_started != known.m_started;
    if (is_new_run)
    {
        known.m_use.clear();
    }
    // What the peer reports first after it has taken another one's place, or
    // has changed what it reports, is known from others already.
    bool const is_rebased =
        (!added && known.m_source.m_covers_fleet != source.m_covers_fleet) ||
        (source.m_covers_fleet && is_new_run && m_had_fleet_report);
    m_had_fleet_report = m_had_fleet_report || source.m_covers_fleet;
    known.m_source = {std::max<std::int64_t>(1, source.m_instances),
                      source.m_forwards, source.m_covers_fleet, std::nullopt};
    bool const has_told = added && source.m_reported_use;
    if (has_told)
    {
        for (auto const& [owner, total] : *source.m_reported_use)
        {
            known.m_use[owner] = total;
        }
    }
    for (auto& [owner, item] : m_buckets)
    {
        advance(owner, item, now);
    }
    duration const since =
        added || is_rebased ? duration::zero() : now - known.m_last_contact;
    for (auto& [owner, item] : m_buckets)
    {
        return_silent_charge(item, known, owner, is_new_run || is_rebased);
    }
    if (is_rebased && !added)
    {
        drop_expected_use(known);
    }
    for (auto const& [owner, total] : use)
    {
        std::int64_t& last = known.m_use[owner];
        auto const limited = m_buckets.find(owner);
        if (limited != m_buckets.end())
        {
            bucket& item = limited->second;
            // Use before this bucket was created may be long past.
            bool const is_charged =
                !is_rebased && (!added || has_told ||
                                (run.m_uptime < young_peer_uptime &&
                                 now - run.m_uptime >= item.m_opened));
            std::int64_t const units = is_charged ? total - last : 0;
            double const expected_units =
                known.m_expected_use[owner].m_use_rate * seconds(since);
            return_dropped_charge(item,
                                  static_cast<double>(units) - expected_units);
            note_use(item, known, owner, units);
            note_use_rate(item, known, owner, static_cast<double>(units),
                          since);
        }
        last = total;
    }
    known.m_started = run.m_started;
    known.m_last_contact = now;
}

/** The total of a peer that was silent covers the time of its silence. */
void quota_limiter::return_silent_charge(bucket& item, peer_use& known,
                                         organisation_id const& owner,
                                         bool is_new_run)
{
    double const charged = std::exchange(known.m_silent_charged[owner], 0);
    if (is_new_run)
    {
        item.m_dropped_charged += charged;
        return;
    }
    item.m_level = std::min(item.m_limit.m_burst, item.m_level + charged);
}

/** The instances that a removed peer reported for report to other peers, whose
 *  use grows by that: it was charged already. */
void quota_limiter::return_dropped_charge(bucket& item, double unexpected_units)
{
    double const returned =
        std::clamp(unexpected_units, 0.0, item.m_dropped_charged);
    item.m_dropped_charged -= returned;
    item.m_level = std::min(item.m_limit.m_burst, item.m_level + returned);
}

void quota_limiter::note_use(bucket& item, peer_use& known,
                             organisation_id const& owner,
                             std::int64_t units) const
{
    if (units == 0)
    {
        return;
    }
    item.m_level = std::min(item.m_limit.m_burst,
                            item.m_level - static_cast<double>(units));
    item.m_peer_use += units;
    known.m_counted[owner] += units;
    if (known.m_source.m_forwards)
    {
        item.m_forwarded += units;
    }
}

void quota_limiter::note_use_rate(bucket& item, peer_use& known,
                                  organisation_id const& owner, double units,
                                  duration since)
{
    if (m_news_age <= duration::zero())
    {
        return;
    }
    expected_use& expected = known.m_expected_use[owner];
    double use_rate = expected.m_use_rate;
    if (since > duration::zero())
    {
        double const weight =
            1 - std::exp(-seconds(since) / seconds(use_rate_window));
        use_rate += (units / seconds(since) - use_rate) * weight;
    }
    else if (expected.m_use_rate == 0 && known.m_source.m_instances > 1)
    {
        // The peer takes over the use that a removed peer reported before.
        use_rate = std::exchange(item.m_dropped_use_rate, 0);
        item.m_use_rate -= use_rate;
    }
    use_rate = std::max(0.0, use_rate);
    // Instances that a removed peer reported for now report to this one.
    double const taken_over = std::clamp(use_rate - expected.m_use_rate, 0.0,
                                         item.m_dropped_use_rate);
    item.m_dropped_use_rate -= taken_over;
    item.m_use_rate -= taken_over;
    // The estimate is replaced by the reported use plus the use whose report
    // is still in transit.
    double const in_transit = use_rate * seconds(m_news_age);
    item.m_level = std::min(item.m_limit.m_burst,
                            item.m_level + expected.m_charged - in_transit);
    item.m_use_rate += use_rate - expected.m_use_rate;
    expected = {use_rate, in_transit};
}

void quota_limiter::set_news_age(duration age)
{
    m_news_age = age;
}

void quota_limiter::note_reported_use(std::vector<quota_use> use)
{
    m_reported_use = std::move(use);
}

void quota_limiter::drop_peer(instance_id const& peer)
{
    auto const known = m_peers.find(peer);
    if (known == m_peers.end())
    {
        return;
    }
    // The instances that it reported for keep running, and another peer will
    // report their use.
    drop_expected_use(known->second);
    for (auto const& [owner, charged] : known->second.m_silent_charged)
    {
        auto const limited = m_buckets.find(owner);
        if (limited != m_buckets.end())
        {
            limited->second.m_dropped_charged += charged;
        }
    }
    m_peers.erase(known);
}

void quota_limiter::drop_expected_use(peer_use& known)
{
    for (auto& [owner, expected] : known.m_expected_use)
    {
        auto const limited = m_buckets.find(owner);
        if (limited != m_buckets.end())
        {
            limited->second.m_dropped_use_rate += expected.m_use_rate;
            limited->second.m_dropped_charged += expected.m_charged;
        }
        expected = {};
    }
}

std::vector<quota_use> quota_limiter::own_use() const
{
    std::vector<quota_use> use;
    for (auto const& [owner, item] : m_buckets)
    {
        if (item.m_own + item.m_forwarded != 0)
        {
            use.emplace_back(owner, item.m_own + item.m_forwarded);
        }
    }
    return use;
}

std::vector<quota_use> quota_limiter::use_without(instance_id const& peer) const
{
    auto const known = m_peers.find(peer);
    std::vector<quota_use> use;
    for (auto const& [owner, item] : m_buckets)
    {
        std::int64_t total = item.m_own + item.m_peer_use;
        if (known != m_peers.end())
        {
            auto const counted = known->second.m_counted.find(owner);
            total -=
                counted == known->second.m_counted.end() ? 0 : counted->second;
        }
        if (total != 0)
        {
            use.emplace_back(owner, total);
        }
    }
    return use;
}

void quota_limiter::advance(organisation_id const& owner, bucket& item,
                            time_point now)
{
    if (now <= item.m_updated_at)
    {
        return;
    }
    double refill = item.m_limit.m_rate * seconds(now - item.m_updated_at);
    std::size_t known = 1;
    for (auto const& [id, peer] : m_peers)
    {
        known += static_cast<std::size_t>(peer.m_source.m_instances);
    }
    std::size_t const expected = item.m_updated_at < m_expected_until
                                     ? std::max(known, m_expected_instances)
                                     : known;
    double const share = item.m_limit.m_rate / static_cast<double>(expected);
    if (expected > known)
    {
        refill -= share * static_cast<double>(expected - known) *
                  seconds(std::min(now, m_expected_until) - item.m_updated_at);
    }
    for (auto& [id, peer] : m_peers)
    {
        time_point const silent_from = std::max(
            peer.m_last_contact + m_silence_timeout, item.m_updated_at);
        if (now > silent_from)
        {
            double const charged =
                share * static_cast<double>(peer.m_source.m_instances) *
                seconds(now - silent_from);
            peer.m_silent_charged[owner] += charged;
            refill -= charged;
        }
    }
    double const passed = seconds(now - item.m_updated_at);
    refill -= item.m_use_rate * passed;
    for (auto& [id, peer] : m_peers)
    {
        if (auto const expected = peer.m_expected_use.find(owner);
            expected != peer.m_expected_use.end())
        {
            expected->second.m_charged += expected->second.m_use_rate * passed;
        }
    }
    double const faded =
        item.m_dropped_use_rate *
        (1 - std::exp(-passed / seconds(dropped_rate_decay_time)));
    item.m_dropped_charged =
        (item.m_dropped_charged + item.m_dropped_use_rate * passed) *
        std::exp(-passed / seconds(dropped_charge_decay_time));
    item.m_dropped_use_rate -= faded;
    item.m_use_rate -= faded;
    item.m_level = std::min(item.m_limit.m_burst, item.m_level + refill);
    if (item.m_level < 0)
    {
        item.m_admitted_fraction =
            std::max(min_admitted_fraction,
                     item.m_admitted_fraction *
                         std::exp(-passed / seconds(fraction_decay_time)));
    }
    else if (item.m_level >= ramp_of(item.m_limit))
    {
        item.m_admitted_fraction = std::min(
            1.0, item.m_admitted_fraction *
                     std::exp(passed / seconds(fraction_recovery_time)));
    }
    limit_returns(owner, item);
    item.m_updated_at = now;
}

/** What was charged in advance while the bucket stayed full cost nothing, so
 *  that it must not be returned. */
void quota_limiter::limit_returns(organisation_id const& owner, bucket& item)
{
    double lacking = std::max(0.0, item.m_limit.m_burst - item.m_level);
    for (auto& [id, peer] : m_peers)
    {
        if (auto const charged = peer.m_silent_charged.find(owner);
            charged != peer.m_silent_charged.end())
        {
            charged->second = std::min(charged->second, lacking);
            lacking -= charged->second;
        }
    }
    item.m_dropped_charged = std::min(item.m_dropped_charged, lacking);
}

} // namespace daisylead::serving
