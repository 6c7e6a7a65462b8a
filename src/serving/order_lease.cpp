/** @file Lease of the right to send orders to engines. */
#include <daisylead/serving/order_lease_base.hpp>

#include <algorithm>

namespace daisylead::serving
{

order_lease::order_lease(instance_id self, order_lease_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void order_lease::note_row(lease_row_state const& row, time_point read_at)
{
    if (row.m_version != m_row.m_version)
    {
        // Written by another process, or by this one with a response that was
        // lost. In both cases the previous token is void.
        m_row = row;
        m_changed_at = read_at;
        m_token.reset();
        m_row_is_own = false;
    }
    m_changed_at = std::min(m_changed_at, read_at - row.m_age);
    m_known = true;
}

void order_lease::note_store_restored(time_point noted_at)
{
    if (m_restored_at != noted_at)
    {
        m_restored_at = noted_at;
        m_known = false;
    }
}

bool order_lease::wants_read(time_point now) const
{
    return !m_known || !token(now);
}

std::optional<std::uint64_t> order_lease::write_due(time_point now) const
{
    if (!m_known)
    {
        return std::nullopt;
    }
    if (m_token)
    {
        bool const due = m_held_until - now < m_options.m_duration / 2;
        return due ? std::optional(m_row.m_version) : std::nullopt;
    }
    if (m_restored_at &&
        now - *m_restored_at < m_options.m_duration + m_options.m_handover)
    {
        return std::nullopt;
    }
    // Another process may hold the lease by a row that the store has lost, also
    // if there is none.
    if (!m_row_is_own && m_store_known_since &&
        now - *m_store_known_since <
            m_options.m_duration + m_options.m_handover)
    {
        return std::nullopt;
    }
    duration const wait =
        m_row.m_holder.empty()
            ? std::max(duration::zero(), m_options.m_handover - m_row.m_quiet)
            : m_options.m_duration + m_options.m_handover;
    bool const free =
        m_row.m_version == 0 || is_last_holder() || now - m_changed_at >= wait;
    return free ? std::optional(m_row.m_version) : std::nullopt;
}

void order_lease::note_written(std::uint64_t version, time_point sent_at)
{
    if (!m_token)
    {
        m_token = version;
    }
    m_row = {version, m_self};
    m_row_is_own = true;
    m_changed_at = sent_at;
    m_known = true;
    m_held_until = sent_at + m_options.m_duration;
}

void order_lease::note_released()
{
    m_token.reset();
    m_known = false;
}

void order_lease::note_write_failed(time_point)
{
    m_known = false;
}

std::optional<std::uint64_t> order_lease::token(time_point now) const
{
    if (!m_token || now >= m_held_until - m_options.m_margin)
    {
        return std::nullopt;
    }
    return m_token;
}

} // namespace daisylead::serving
