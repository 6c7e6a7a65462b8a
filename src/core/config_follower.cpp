/** @file Follows the newest configuration version. */
#include "config_follower.hpp"

#include <daisylead/config/parse_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds fetch_retry{200};

/** Versions whose write tokens stay in the head row. */
constexpr std::size_t max_tokens = 16;

} // namespace

config_head parse_config_head(table::read_reply const& reply)
{
    config_head head;
    if (reply.m_rows.empty())
    {
        return head;
    }
    table::table_row const& row = reply.m_rows.front();
    try
    {
        json const value = json::parse(row.m_value);
        head.m_row_version = row.m_version;
        head.m_version = config_version(value.at("version"));
        head.m_hash = value.at("hash");
        head.m_token = value.value("token", "");
        for (json const& item : value.value("tokens", json::array()))
        {
            head.m_tokens.emplace_back(config_version(item.at(0)), item.at(1));
        }
    }
    catch (json::exception const& failure)
    {
        throw error(std::string("row config/head is not valid: ") +
                    failure.what());
    }
    return head;
}

std::string serialise(config_head const& head)
{
    json tokens = json::array();
    std::size_t const skip = head.m_tokens.size() > max_tokens
                                 ? head.m_tokens.size() - max_tokens
                                 : 0;
    for (std::size_t i = skip; i < head.m_tokens.size(); ++i)
    {
        tokens.push_back(
            {head.m_tokens[i].first.value(), head.m_tokens[i].second});
    }
    return json{{"version", head.m_version.value()},
                {"hash", head.m_hash},
                {"object", config_object_name(head.m_hash)},
                {"token", head.m_token},
                {"tokens", tokens}}
        .dump();
}

std::string config_object_name(std::string const& hash)
{
    return "config/" + hash;
}

config_follower::config_follower(duration poll_interval)
    : m_poll_interval(poll_interval)
{
}

config_version config_follower::current_version() const
{
    return m_current ? m_current->m_version : config_version(0);
}

std::vector<follower_action> config_follower::on_timer(time_point now)
{
    std::vector<follower_action> actions;
    if (now >= m_next_poll)
    {
        actions.emplace_back(read_config_head{});
        m_next_poll = now + m_poll_interval;
    }
    if (m_next_fetch && now >= *m_next_fetch)
    {
        m_next_fetch.reset();
        if (auto action = make_fetch())
        {
            actions.push_back(std::move(*action));
            m_fetching = true;
        }
    }
    m_next_timer =
        m_next_fetch ? std::min(m_next_poll, *m_next_fetch) : m_next_poll;
    return actions;
}

std::optional<follower_action> config_follower::make_fetch()
{
    config_version const loaded = std::max(current_version(), m_rejected);
    bool const head_is_newer = m_head.m_version > loaded;
    bool const peer_is_newer = m_newest > loaded && !m_announcer.empty();
    if (head_is_newer && !(m_prefer_peer && peer_is_newer))
    {
        return read_config_object{config_object_name(m_head.m_hash)};
    }
    if (peer_is_newer)
    {
        return fetch_config_from_peer{m_announcer};
    }
    return std::nullopt;
}

void config_follower::schedule_fetch(time_point now)
{
    if (!m_fetching && !m_next_fetch)
    {
        m_next_fetch = now;
        m_next_timer = now;
    }
}

void config_follower::note_version(config_version version, time_point now)
{
    m_newest = std::max(m_newest, version);
    if (m_newest <= std::max(current_version(), m_rejected))
    {
        return;
    }
    if (!m_newer_since)
    {
        m_newer_since = now;
    }
    schedule_fetch(now);
}

void config_follower::on_head(table::read_reply const& reply, time_point now)
{
    if (!reply.m_ok)
    {
        return;
    }
    try
    {
        config_head const head = parse_config_head(reply);
        if (head.m_version > m_head.m_version)
        {
            m_head = head;
        }
        note_version(m_head.m_version, now);
    }
    catch (error const& failure)
    {
        m_findings = {{config_head_row, 0, 0, failure.what()}};
    }
}

void config_follower::on_announced(instance_id const& peer,
                                   config_version version, time_point now)
{
    if (version > current_version() && version >= m_newest)
    {
        m_announcer = peer;
    }
    note_version(version, now);
}

void config_follower::on_object(std::optional<std::string> const& text,
                                time_point now)
{
    m_fetching = false;
    if (text && access::sha256_hex(*text) == m_head.m_hash)
    {
        m_prefer_peer = false;
        load(m_head.m_version, *text, now);
        return;
    }
    m_prefer_peer = true;
    m_next_fetch = now + fetch_retry;
    m_next_timer = std::min(m_next_timer, *m_next_fetch);
}

void config_follower::on_peer_config(config_version version,
                                     std::optional<std::string> const& text,
                                     time_point now)
{
    m_fetching = false;
    if (text && version > current_version())
    {
        load(version, *text, now);
        return;
    }
    m_prefer_peer = false;
    m_next_fetch = now + fetch_retry;
    m_next_timer = std::min(m_next_timer, *m_next_fetch);
}

void config_follower::load(config_version version, std::string const& text,
                           time_point now)
{
    if (version <= current_version())
    {
        return;
    }
    try
    {
        auto loaded = std::make_shared<config::configuration>(
            config::parse_configuration(text, "configuration"));
        loaded->m_version = version;
        m_current = std::move(loaded);
        m_findings.clear();
    }
    catch (findings_error const& failure)
    {
        // The version was checked by the instance that published it; one that
        // cannot be read here comes from another release of the program.
        m_rejected = version;
        m_findings = failure.findings();
    }
    m_newer_since.reset();
    note_version(m_newest, now);
}

void config_follower::on_published(
    std::shared_ptr<config::configuration const> published)
{
    if (published->m_version > current_version())
    {
        m_current = std::move(published);
    }
    if (m_newest <= current_version())
    {
        m_newer_since.reset();
    }
}

} // namespace daisylead::core
