/** @file Publishes a new configuration version. */
#include "config_publisher.hpp"

#include <daisylead/config/parse_func.hpp>

#include <algorithm>

namespace daisylead::core
{

namespace
{

/** Time to find out whether a write with a lost answer was committed. */
constexpr std::chrono::seconds commit_deadline{8};
constexpr std::chrono::milliseconds resolve_interval{250};

/** Time to wait for confirmations; an unreachable instance counts as fenced
 *  well within it. */
constexpr std::chrono::seconds confirm_deadline{15};

publish_answer make_answer(operator_token call, publish_status status,
                           config_version version, std::string message)
{
    publish_answer answer;
    answer.m_token = call;
    answer.m_status = status;
    answer.m_version = version;
    answer.m_message = std::move(message);
    return answer;
}

bool has_token(config_head const& head, config_version version,
               std::string const& token)
{
    return std::find(head.m_tokens.begin(), head.m_tokens.end(),
                     std::pair(version, token)) != head.m_tokens.end();
}

} // namespace

std::string to_string(publish_status status)
{
    switch (status)
    {
    case publish_status::accepted:
        return "accepted";
    case publish_status::committed:
        return "committed";
    case publish_status::conflict:
        return "conflict";
    case publish_status::invalid:
        return "invalid";
    case publish_status::failed:
        return "failed";
    }
    return "failed";
}

config_publisher::config_publisher(std::function<std::string()> next_token)
    : m_next_token(std::move(next_token))
{
}

std::vector<publisher_action> config_publisher::publish(operator_token call,
                                                        config_version expected,
                                                        std::string const& text,
                                                        time_point now)
{
    job item;
    item.m_expected = expected;
    item.m_deadline = now + commit_deadline;
    try
    {
        item.m_configuration = std::make_shared<config::configuration>(
            config::parse_configuration(text, "configuration"));
    }
    catch (findings_error const& failure)
    {
        publish_answer answer =
            make_answer(call, publish_status::invalid, config_version(0),
                        "the document has findings");
        answer.m_findings = failure.findings();
        return {std::move(answer)};
    }
    item.m_configuration->m_version = expected + config_version(1);
    m_jobs.emplace(call, std::move(item));
    return {publisher_read_head{call}};
}

std::vector<publisher_action>
config_publisher::on_head(operator_token call, table::read_reply const& reply,
                          time_point now)
{
    auto const found = m_jobs.find(call);
    if (found == m_jobs.end())
    {
        return {};
    }
    job& item = found->second;
    if (!reply.m_ok)
    {
        if (item.m_phase == phase::resolving)
        {
            return {};
        }
        return end(found,
                   make_answer(call, publish_status::failed, config_version(0),
                               "not committed: the platform's table "
                               "cannot be read"));
    }
    config_head const head = parse_config_head(reply);
    if (item.m_phase == phase::resolving)
    {
        return resolve(found, head, now);
    }
    if (head.m_version != item.m_expected)
    {
        return end(found,
                   make_answer(call, publish_status::conflict, head.m_version,
                               "another version is in force"));
    }
    item.m_head = head;
    item.m_phase = phase::storing_object;
    return {publisher_put_object{
        call, config_object_name(item.m_configuration->m_hash),
        item.m_configuration->m_text}};
}

std::vector<publisher_action> config_publisher::on_object(operator_token call,
                                                          bool stored)
{
    auto const found = m_jobs.find(call);
    if (found == m_jobs.end())
    {
        return {};
    }
    if (!stored)
    {
        return end(found,
                   make_answer(call, publish_status::failed, config_version(0),
                               "not committed: the object store did "
                               "not confirm the document"));
    }
    return commit(call, found->second);
}

std::vector<publisher_action> config_publisher::commit(operator_token call,
                                                       job& item)
{
    item.m_phase = phase::committing;
    item.m_write_token = m_next_token();
    config_head next = item.m_head;
    next.m_version = item.m_configuration->m_version;
    next.m_hash = item.m_configuration->m_hash;
    next.m_token = item.m_write_token;
    next.m_tokens.emplace_back(next.m_version, item.m_write_token);
    table::table_transaction transaction;
    transaction.m_conditions = {{config_head_row, item.m_head.m_row_version}};
    transaction.m_puts = {{config_head_row, serialise(next)}};
    return {publisher_commit{call, std::move(transaction)}};
}

std::vector<publisher_action> config_publisher::on_commit(
    operator_token call, table::transaction_reply const& reply, time_point now)
{
    auto const found = m_jobs.find(call);
    if (found == m_jobs.end())
    {
        return {};
    }
    switch (reply.m_status)
    {
    case table::transaction_status::committed:
        return take_committed(call, found->second, now);
    case table::transaction_status::not_applied:
        return end(found,
                   make_answer(call, publish_status::failed, config_version(0),
                               "not committed: the platform's table "
                               "cannot be reached"));
    case table::transaction_status::conflict:
    case table::transaction_status::unknown:
        break;
    }
    // A conflict can be our own write whose first answer was lost, so both
    // cases read the head back.
    found->second.m_phase = phase::resolving;
    found->second.m_next_read = now + resolve_interval;
    return {publisher_read_head{call}};
}

std::vector<publisher_action> config_publisher::resolve(jobs::iterator position,
                                                        config_head const& head,
                                                        time_point now)
{
    operator_token const call = position->first;
    job& item = position->second;
    config_version const wanted = item.m_configuration->m_version;
    if (has_token(head, wanted, item.m_write_token))
    {
        return take_committed(call, item, now);
    }
    if (head.m_version >= wanted)
    {
        return end(position,
                   make_answer(call, publish_status::conflict, head.m_version,
                               "another version was committed"));
    }
    // The write may still be applied late; the head is read until the
    // deadline.
    return {};
}

std::vector<publisher_action>
config_publisher::take_committed(operator_token call, job& item, time_point now)
{
    item.m_phase = phase::confirming;
    item.m_deadline = now + confirm_deadline;
    item.m_next_read.reset();
    return {publisher_committed{call, item.m_configuration}};
}

std::vector<publisher_action> config_publisher::accept(operator_token call)
{
    auto const found = m_jobs.find(call);
    if (found == m_jobs.end())
    {
        return {};
    }
    return end(found, make_answer(call, publish_status::accepted,
                                  found->second.m_configuration->m_version,
                                  "in force on every instance"));
}

std::vector<publisher_action> config_publisher::end(jobs::iterator position,
                                                    publish_answer answer)
{
    m_jobs.erase(position);
    return {std::move(answer)};
}

std::vector<publisher_action>
config_publisher::on_timer(time_point now,
                           std::vector<std::string> const& outstanding)
{
    std::vector<publisher_action> actions;
    for (auto position = m_jobs.begin(); position != m_jobs.end();)
    {
        auto const current = position++;
        auto& [call, item] = *current;
        if (now < item.m_deadline)
        {
            if (item.m_next_read && now >= *item.m_next_read)
            {
                item.m_next_read = now + resolve_interval;
                actions.emplace_back(publisher_read_head{call});
            }
            continue;
        }
        bool const committed = item.m_phase == phase::confirming;
        publish_answer answer = make_answer(
            call,
            committed ? publish_status::committed : publish_status::failed,
            committed ? item.m_configuration->m_version : config_version(0),
            committed ? "committed, but not confirmed by every instance"
                      : "the outcome is not known; read the version in force "
                        "before you try again");
        answer.m_outstanding =
            committed ? outstanding : std::vector<std::string>();
        for (publisher_action& action : end(current, std::move(answer)))
        {
            actions.push_back(std::move(action));
        }
    }
    return actions;
}

std::optional<time_point> config_publisher::next_timer() const
{
    std::optional<time_point> next;
    for (auto const& [call, item] : m_jobs)
    {
        time_point const due =
            item.m_next_read ? std::min(*item.m_next_read, item.m_deadline)
                             : item.m_deadline;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

std::vector<std::pair<operator_token, config_version>>
config_publisher::unconfirmed() const
{
    std::vector<std::pair<operator_token, config_version>> calls;
    for (auto const& [call, item] : m_jobs)
    {
        if (item.m_phase == phase::confirming)
        {
            calls.emplace_back(call, item.m_configuration->m_version);
        }
    }
    return calls;
}

} // namespace daisylead::core
