/** @file The KV cache stores of a deployment, and which one a prompt uses. */
#include <daisylead/serving/kv_store_set_base.hpp>

#include <xxhash.h>

#include <algorithm>

namespace daisylead::serving
{

kv_store_set::kv_store_set(duration silent_after) : m_silent_after(silent_after)
{
}

void kv_store_set::set_stores(std::vector<std::string> stores)
{
    m_stores = std::move(stores);
    std::erase_if(m_states,
                  [this](auto const& entry)
                  {
                      return std::none_of(m_stores.begin(), m_stores.end(),
                                          [&entry](std::string const& address)
                                          { return address == entry.first; });
                  });
}

bool kv_store_set::note_answer(std::string const& address, std::int64_t epoch,
                               time_point answered_at)
{
    state& item = m_states[address];
    if (item.m_answered_at && answered_at <= *item.m_answered_at)
    {
        return false;
    }
    bool const is_news = !item.m_answered_at || item.m_epoch != epoch;
    item.m_epoch = epoch;
    item.m_answered_at = answered_at;
    return is_news;
}

bool kv_store_set::note_silent(std::string const& address)
{
    auto const found = m_states.find(address);
    if (found == m_states.end() || !found->second.m_answered_at)
    {
        return false;
    }
    found->second.m_answered_at.reset();
    return true;
}

std::optional<time_point>
kv_store_set::answered_at(std::string const& address) const
{
    auto const found = m_states.find(address);
    return found == m_states.end() ? std::nullopt : found->second.m_answered_at;
}

std::vector<kv_store_report> kv_store_set::report(time_point now) const
{
    std::vector<kv_store_report> reports;
    for (auto const& [address, item] : m_states)
    {
        if (item.m_answered_at)
        {
            reports.push_back({address, item.m_epoch,
                               std::chrono::ceil<std::chrono::milliseconds>(
                                   now - *item.m_answered_at)
                                   .count()});
        }
    }
    return reports;
}

bool kv_store_set::is_up(std::string const& address, time_point now) const
{
    auto const answered = answered_at(address);
    return answered && now - *answered < m_silent_after;
}

std::optional<std::string> kv_store_set::choose(std::uint64_t prefix,
                                                time_point now) const
{
    std::optional<std::string> chosen;
    std::uint64_t max_weight = 0;
    for (std::string const& store : m_stores)
    {
        std::uint64_t const weight = XXH64(store.data(), store.size(), prefix);
        if (is_up(store, now) && (!chosen || weight > max_weight))
        {
            max_weight = weight;
            chosen = store;
        }
    }
    return chosen;
}

std::uint64_t kv_store_set::save_key(std::string const& address,
                                     std::uint64_t prefix) const
{
    auto const found = m_states.find(address);
    std::uint64_t const epoch =
        found == m_states.end()
            ? 0
            : static_cast<std::uint64_t>(found->second.m_epoch);
    return XXH64(address.data(), address.size(), prefix ^ epoch);
}

} // namespace daisylead::serving
