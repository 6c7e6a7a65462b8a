/** @file Follows the newest configuration version. */
#pragma once

#include <daisylead/base/error_type.hpp>
#include <daisylead/config/configuration_type.hpp>
#include <daisylead/table/table_type.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::core
{

/** Name of the table row that holds the newest version. */
inline constexpr char const* config_head_row = "config/head";

/** Content of the row config/head. */
struct config_head
{
    config_version m_version;       ///< newest committed version
    std::string m_hash;             ///< SHA-256 of its text, hex
    std::string m_token;            ///< unique token of the write
    std::int64_t m_row_version = 0; ///< version of the table row; 0: absent
    /** Tokens of the latest versions, newest last, so that a writer whose
     *  answer was lost can tell whether its write was committed. */
    std::vector<std::pair<config_version, std::string>> m_tokens;
};

/** @return the head in a reply; version 0 if the row is absent.
 *  @throws daisylead::error if the row is not valid */
config_head parse_config_head(table::read_reply const& reply);

/** @return the JSON text of a head. */
std::string serialise(config_head const& head);

/** @return the object that holds a configuration text. */
std::string config_object_name(std::string const& hash);

/** What the follower asks for. */
struct read_config_head
{
};

struct read_config_object
{
    std::string m_name; ///< object to read
};

struct fetch_config_from_peer
{
    instance_id m_peer; ///< peer that announced the version
};

using follower_action =
    std::variant<read_config_head, read_config_object, fetch_config_from_peer>;

/** Reads the head of the table at intervals, hears of versions from peers, and
 *  loads the newest. It never goes to a lower version. */
class config_follower
{
public:
    /** @param poll_interval between two reads of the head */
    explicit config_follower(duration poll_interval);

    /** Does what is due.
     *  @return what to ask for */
    std::vector<follower_action> on_timer(time_point now);

    /** @return when on_timer() is needed next. */
    time_point next_timer() const
    {
        return m_next_timer;
    }

    /** The head was read, or could not be read. */
    void on_head(table::read_reply const& reply, time_point now);

    /** A peer announced a version. */
    void on_announced(instance_id const& peer, config_version version,
                      time_point now);

    /** The object came, or could not be read. */
    void on_object(std::optional<std::string> const& text, time_point now);

    /** A peer sent its configuration, or did not answer. */
    void on_peer_config(config_version version,
                        std::optional<std::string> const& text, time_point now);

    /** Takes over a configuration that this instance itself published. */
    void on_published(std::shared_ptr<config::configuration const> published);

    /** @return the configuration in force; null before the first. */
    std::shared_ptr<config::configuration const> const& current() const
    {
        return m_current;
    }

    /** @return since when a newer version than the loaded one is known. */
    std::optional<time_point> newer_known_since() const
    {
        return m_newer_since;
    }

    /** @return findings of the last version that could not be loaded. */
    std::vector<finding> const& findings() const
    {
        return m_findings;
    }

private:
    config_version current_version() const;
    void note_version(config_version version, time_point now);
    void load(config_version version, std::string const& text, time_point now);
    void schedule_fetch(time_point now);
    std::optional<follower_action> make_fetch();

    duration m_poll_interval;
    std::shared_ptr<config::configuration const> m_current;
    config_head m_head;      ///< last head read
    config_version m_newest; ///< newest version heard of
    instance_id m_announcer; ///< peer that announced m_newest
    std::optional<time_point> m_newer_since;
    time_point m_next_poll;
    time_point m_next_timer;
    std::optional<time_point> m_next_fetch;
    bool m_fetching = false;
    bool m_prefer_peer = false; ///< the last object read failed
    config_version m_rejected;  ///< version that failed to parse
    std::vector<finding> m_findings;
};

} // namespace daisylead::core
