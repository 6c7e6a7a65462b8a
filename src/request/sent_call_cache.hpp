/** @file Outcomes of calls that this instance sent. */
#pragma once

#include <daisylead/request/request_type.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace daisylead::request
{

/** Outcome of a call that was sent. */
struct sent_call
{
    std::string m_digest;                         ///< digest of the request
    run_outcome m_outcome = run_outcome::unknown; ///< unknown or done
};

/** Bounded cache of sent calls by row. It keeps the instance that ran a call
 *  from answering "not run" to a repeat during a table outage. */
class sent_call_cache
{
public:
    explicit sent_call_cache(std::size_t max_calls) : m_max_calls(max_calls) {}

    /** Adds or replaces a call; evicts the oldest one when full. */
    void insert(std::string const& row, sent_call call)
    {
        if (m_calls.insert_or_assign(row, std::move(call)).second)
        {
            m_order.push_back(row);
        }
        if (m_order.size() > m_max_calls)
        {
            m_calls.erase(m_order.front());
            m_order.pop_front();
        }
    }

    /** @return the call, or null. */
    sent_call const* find(std::string const& row) const
    {
        auto const found = m_calls.find(row);
        return found == m_calls.end() ? nullptr : &found->second;
    }

private:
    std::size_t m_max_calls;
    std::unordered_map<std::string, sent_call> m_calls; ///< by row
    std::deque<std::string> m_order;                    ///< oldest first
};

} // namespace daisylead::request
