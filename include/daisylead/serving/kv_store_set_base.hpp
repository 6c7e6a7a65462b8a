/** @file The KV cache stores of a deployment, and which one a prompt uses. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::serving
{

/** State of a KV cache store, as told to peers. */
struct kv_store_report
{
    std::string m_address;     ///< "IP:port"
    std::int64_t m_epoch = 0;  ///< changes when it restarts empty
    std::int64_t m_age_ms = 0; ///< since it last answered
};

/** Divides the prompts among the KV cache stores by the hash of their prefix,
 *  so that the stores keep different prefixes and share the transfers.
 *
 *  Designed for bursts of prompts with large shared prefixes, whose transfers
 *  fill the link of one store. */
class kv_store_set
{
public:
    /** @param silent_after time without an answer after which a store counts as
     *          down */
    explicit kv_store_set(duration silent_after);

    /** Sets the addresses ("IP:port") of the configured stores. */
    void set_stores(std::vector<std::string> stores);

    std::vector<std::string> const& stores() const
    {
        return m_stores;
    }

    /** Records an answer of a store.
     *  @return whether it is the first one, or the store restarted empty */
    bool note_answer(std::string const& address, std::int64_t epoch,
                     time_point answered_at);

    /** Records that a store did not answer.
     *  @return whether it counted as up before */
    bool note_silent(std::string const& address);

    /** @return when the store last answered, unless it is down. */
    std::optional<time_point> answered_at(std::string const& address) const;

    /** @return the stores that answered, to report to peers. */
    std::vector<kv_store_report> report(time_point now) const;

    /** @return address of the store for a prefix; nothing if all are down. */
    std::optional<std::string> choose(std::uint64_t prefix,
                                      time_point now) const;

    /** @return key of a prefix kept in the present run of a store. */
    std::uint64_t save_key(std::string const& address,
                           std::uint64_t prefix) const;

private:
    struct state
    {
        std::int64_t m_epoch = 0;
        std::optional<time_point> m_answered_at; ///< nothing: down
    };

    bool is_up(std::string const& address, time_point now) const;

    duration m_silent_after;
    std::vector<std::string> m_stores;
    std::map<std::string, state> m_states; ///< by address
};

} // namespace daisylead::serving
