/** @file Tests of publishing a configuration under lost and late answers. */
#include "core/config_publisher.hpp"

#include <catch2/catch.hpp>

using namespace daisylead;
using namespace daisylead::core;
using namespace std::chrono_literals;

namespace
{

constexpr char const* document =
    "[[model]]\nid = \"caption\"\nweights_version = \"1\"\n";
constexpr operator_token call = 7;
time_point const start{};

table::read_reply head_reply(config_head const& head)
{
    return {true, {{config_head_row, head.m_row_version, serialise(head)}}};
}

config_head make_head(std::int64_t version, std::string const& token)
{
    config_head head;
    head.m_version = config_version(version);
    head.m_hash = "hash";
    head.m_token = token;
    head.m_row_version = 100 + version;
    head.m_tokens = {{head.m_version, token}};
    return head;
}

/** Brings a call to the point where its write was sent. */
struct publishing
{
    publishing()
    {
        m_publisher.publish(call, config_version(4), document, start);
        m_publisher.on_head(call, head_reply(make_head(4, "old")), start);
        auto const actions = m_publisher.on_object(call, true);
        m_write = std::get<publisher_commit>(actions.at(0)).m_transaction;
    }

    /** @return the head row after the write took effect. */
    config_head written() const
    {
        table::read_reply const reply{
            true, {{config_head_row, 105, m_write.m_puts.at(0).m_value}}};
        return parse_config_head(reply);
    }

    config_publisher m_publisher{[]
                                 {
                                     return std::string("token-1");
                                 }};
    table::table_transaction m_write;
};

template <class Type>
bool has(std::vector<publisher_action> const& actions)
{
    return !actions.empty() && std::holds_alternative<Type>(actions.at(0));
}

publish_status status_of(std::vector<publisher_action> const& actions)
{
    return std::get<publish_answer>(actions.at(0)).m_status;
}

} // namespace

TEST_CASE("publisher: the write depends on the row that was read")
{
    publishing item;
    REQUIRE(item.m_write.m_conditions.size() == 1);
    CHECK(item.m_write.m_conditions.at(0).m_version == 104);
    CHECK(item.written().m_version == config_version(5));
}

TEST_CASE("publisher: a lost answer is resolved by the token of the write")
{
    // Without it the operator is told of a conflict with the own change.
    publishing item;
    auto const after_loss = item.m_publisher.on_commit(
        call, {table::transaction_status::unknown, {}}, start);
    REQUIRE(has<publisher_read_head>(after_loss));
    auto const actions =
        item.m_publisher.on_head(call, head_reply(item.written()), start);
    CHECK(has<publisher_committed>(actions));
}

TEST_CASE("publisher: the token is found after a later change by another")
{
    publishing item;
    item.m_publisher.on_commit(call, {table::transaction_status::unknown, {}},
                               start);
    config_head later = item.written();
    later.m_version = config_version(6);
    later.m_token = "other";
    later.m_tokens.emplace_back(later.m_version, "other");
    auto const actions =
        item.m_publisher.on_head(call, head_reply(later), start);
    CHECK(has<publisher_committed>(actions));
}

TEST_CASE("publisher: a change that lost the race names the winner")
{
    publishing item;
    item.m_publisher.on_commit(call, {table::transaction_status::conflict, {}},
                               start);
    auto const actions = item.m_publisher.on_head(
        call, head_reply(make_head(5, "other")), start);
    REQUIRE(has<publish_answer>(actions));
    CHECK(status_of(actions) == publish_status::conflict);
    CHECK(std::get<publish_answer>(actions.at(0)).m_version ==
          config_version(5));
}

TEST_CASE("publisher: a write that may still be applied late is not reported "
          "as a conflict")
{
    publishing item;
    item.m_publisher.on_commit(call, {table::transaction_status::unknown, {}},
                               start);
    CHECK(item.m_publisher.on_head(call, head_reply(make_head(4, "old")), start)
              .empty());
    CHECK(has<publisher_committed>(item.m_publisher.on_head(
        call, head_reply(item.written()), start + 1s)));
}

TEST_CASE("publisher: without confirmations the change is committed, not "
          "accepted")
{
    publishing item;
    item.m_publisher.on_commit(call, {table::transaction_status::committed, {}},
                               start);
    CHECK(item.m_publisher.on_timer(start + 14s, {}).empty());
    auto const actions = item.m_publisher.on_timer(start + 16s, {"entry-2"});
    REQUIRE(has<publish_answer>(actions));
    CHECK(status_of(actions) == publish_status::committed);
}

TEST_CASE("follower: neither the table nor a peer brings a version down")
{
    config_follower follower(1s);
    follower.on_timer(start);
    auto newer = std::make_shared<config::configuration>();
    newer->m_version = config_version(9);
    follower.on_published(newer);
    follower.on_announced(instance_id("entry-2"), config_version(8), start);
    follower.on_peer_config(config_version(8), document, start);
    follower.on_head(head_reply(make_head(8, "old")), start);
    CHECK(follower.on_timer(start).empty());
    CHECK(follower.current()->m_version == config_version(9));
}

TEST_CASE("follower: a version whose object is missing comes from a peer")
{
    config_follower follower(1s);
    follower.on_timer(start);
    follower.on_head(head_reply(make_head(3, "t")), start);
    CHECK(std::holds_alternative<read_config_object>(
        follower.on_timer(start).at(0)));
    follower.on_announced(instance_id("entry-2"), config_version(3), start);
    follower.on_object(std::nullopt, start);
    auto const actions = follower.on_timer(start + 500ms);
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<fetch_config_from_peer>(actions.at(0)));
    follower.on_peer_config(config_version(3), document, start + 600ms);
    CHECK(follower.current()->m_version == config_version(3));
}
