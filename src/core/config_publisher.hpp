/** @file Publishes a new configuration version. */
#pragma once

#include "config_follower.hpp"

#include <daisylead/core/publish_type.hpp>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace daisylead::core
{

/** What the publisher asks for; replies name the call. */
struct publisher_read_head
{
    operator_token m_token = 0; ///< the call
};

struct publisher_put_object
{
    operator_token m_token = 0; ///< the call
    std::string m_name;         ///< object
    std::string m_content;      ///< its content
};

struct publisher_commit
{
    operator_token m_token = 0;             ///< the call
    table::table_transaction m_transaction; ///< compare-and-set of the head
};

/** The version was committed; the instance takes it over at once. */
struct publisher_committed
{
    operator_token m_token = 0;                                   ///< the call
    std::shared_ptr<config::configuration const> m_configuration; ///< content
};

using publisher_action =
    std::variant<publisher_read_head, publisher_put_object, publisher_commit,
                 publisher_committed, publish_answer>;

/** Checks a document, writes it as an object and moves the head to it by one
 *  compare-and-set. A lost answer is resolved by reading the head back. The
 *  call stays open until accept() or its deadline. */
class config_publisher
{
public:
    /** @param next_token makes unique tokens */
    explicit config_publisher(std::function<std::string()> next_token);

    /** Begins a call.
     *  @param expected version that the operator's change is based on */
    std::vector<publisher_action> publish(operator_token call,
                                          config_version expected,
                                          std::string const& text,
                                          time_point now);

    std::vector<publisher_action> on_head(operator_token call,
                                          table::read_reply const& reply,
                                          time_point now);
    std::vector<publisher_action> on_object(operator_token call, bool stored);
    std::vector<publisher_action>
    on_commit(operator_token call, table::transaction_reply const& reply,
              time_point now);

    /** Ends a call whose version is in force everywhere. */
    std::vector<publisher_action> accept(operator_token call);

    /** Ends calls whose deadline has passed, and reads back lost answers.
     *  @param outstanding names the instances that have not confirmed */
    std::vector<publisher_action>
    on_timer(time_point now, std::vector<std::string> const& outstanding);

    /** @return when on_timer() is needed next, if at all. */
    std::optional<time_point> next_timer() const;

    /** @return committed calls that wait for confirmation. */
    std::vector<std::pair<operator_token, config_version>> unconfirmed() const;

private:
    enum class phase
    {
        reading_head,
        storing_object,
        committing,
        resolving,
        confirming
    };

    struct job
    {
        phase m_phase = phase::reading_head;
        config_version m_expected;
        std::shared_ptr<config::configuration> m_configuration;
        config_head m_head;
        std::string m_write_token;
        time_point m_deadline;
        std::optional<time_point> m_next_read;
    };

    using jobs = std::map<operator_token, job>;

    std::vector<publisher_action> end(jobs::iterator position,
                                      publish_answer answer);
    std::vector<publisher_action> commit(operator_token call, job& item);
    std::vector<publisher_action> take_committed(operator_token call, job& item,
                                                 time_point now);
    std::vector<publisher_action>
    resolve(jobs::iterator position, config_head const& head, time_point now);

    std::function<std::string()> m_next_token;
    jobs m_jobs;
};

} // namespace daisylead::core
