/** @file Collects the actions of one call of the control state. */
#pragma once

#include <daisylead/core/action_type.hpp>

#include <utility>
#include <vector>

namespace daisylead::core
{

/** Parts of the control state append actions; control::handle() takes them. */
class outbox
{
public:
    void push(action item)
    {
        m_actions.push_back(std::move(item));
    }

    std::vector<action> take()
    {
        return std::exchange(m_actions, {});
    }

private:
    std::vector<action> m_actions;
};

} // namespace daisylead::core
