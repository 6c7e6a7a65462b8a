/** @file Property test: at most one holder per lease under faults. */
#include <daisylead/lease/lease_manager_base.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace daisylead;
using namespace daisylead::lease;
using namespace std::chrono_literals;

namespace
{

using simulated_time = std::chrono::microseconds;

constexpr simulated_time step = 20ms;
std::set<std::string> const row_names{"limit/0", "limit/1"};

struct test_instance
{
    instance_id m_id;
    std::int64_t m_incarnation = 0;
    double m_clock_rate = 1;
    duration m_clock_offset{};
    bool m_paused = false;
    bool m_table_link = true;
    int m_partition = 0;
    simulated_time m_table_lost_at{};
    simulated_time m_next_poll{};
    std::unique_ptr<lease_manager> m_manager;
};

/** Simulates the table, the network and the clocks of several instances. */
class simulated_fleet
{
public:
    explicit simulated_fleet(std::uint32_t seed) : m_random(seed)
    {
        m_instances.resize(random_int(2, 6));
        for (std::size_t index = 0; index < m_instances.size(); ++index)
        {
            test_instance& item = m_instances[index];
            item.m_id = instance_id("i" + std::to_string(index));
            item.m_clock_rate = 0.99 + 0.01 * random_int(0, 2);
            item.m_clock_offset =
                std::chrono::seconds(random_int(1000, 100000));
        }
        for (test_instance& item : m_instances)
        {
            start_process(item);
        }
    }

    void run(simulated_time length)
    {
        for (; m_now < length; m_now += step)
        {
            if (random_int(0, 149) == 0)
            {
                inject_fault();
            }
            while (!m_events.empty() && m_events.begin()->first <= m_now)
            {
                auto const action = m_events.begin()->second;
                m_events.erase(m_events.begin());
                action();
            }
            for (test_instance& item : m_instances)
            {
                run_instance(item);
            }
            check();
        }
    }

    int m_held_steps = 0;         ///< (step, row) pairs with a holder
    int m_held_without_table = 0; ///< of these, over 5 s after table loss

private:
    int random_int(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    time_point clock(test_instance const& item) const
    {
        return time_point(
            item.m_clock_offset +
            std::chrono::duration_cast<duration>(m_now * item.m_clock_rate));
    }

    void start_process(test_instance& item)
    {
        ++item.m_incarnation;
        lease_options options;
        options.m_self = item.m_id;
        options.m_incarnation = incarnation(item.m_incarnation);
        item.m_manager = std::make_unique<lease_manager>(
            options,
            lease_hooks{[this]
                        {
                            return "t" + std::to_string(m_next_token++);
                        }},
            clock(item));
        item.m_manager->set_rows(row_names);
        std::set<instance_id> ids;
        for (test_instance const& other : m_instances)
        {
            ids.insert(other.m_id);
        }
        item.m_manager->set_members(ids, ids);
    }

    void set_table_link(test_instance& item, bool linked)
    {
        if (item.m_table_link && !linked)
        {
            item.m_table_lost_at = m_now;
        }
        item.m_table_link = linked;
    }

    void inject_fault()
    {
        test_instance& item = m_instances[random_int(
            0, static_cast<int>(m_instances.size()) - 1)];
        switch (random_int(0, 11))
        {
        case 0:
            item.m_paused = !item.m_paused;
            break;
        case 1:
            start_process(item);
            break;
        case 2:
            set_table_link(item, !item.m_table_link);
            break;
        case 3:
            item.m_partition = 1 - item.m_partition;
            break;
        case 4:
            for (test_instance& other : m_instances)
            {
                set_table_link(other, false);
            }
            break;
        case 5:
            for (test_instance& other : m_instances)
            {
                other.m_partition = random_int(0, 2) / 2;
                set_table_link(other, other.m_partition == 1);
            }
            break;
        case 7:
        case 8:
            for (test_instance& other : m_instances)
            {
                if (random_int(0, 2) != 0)
                {
                    start_process(other);
                }
            }
            break;
        case 9:
            // All instances reach each other, but only some the table: a
            // holder that extends its lease by a quorum competes with one that
            // writes the row.
            for (test_instance& other : m_instances)
            {
                other.m_partition = 0;
                other.m_paused = false;
                set_table_link(other, random_int(0, 1) == 0);
            }
            break;
        case 6:
            item.m_manager->release_all(clock(item));
            run_later(item, 500,
                      [this](test_instance& self) { start_process(self); });
            break;
        default:
            for (test_instance& other : m_instances)
            {
                other.m_partition = 0;
                other.m_paused = false;
                set_table_link(other, true);
            }
        }
    }

    /** Runs an action after a delay, or once the instance is no longer paused;
     *  drops it if the instance has restarted since. */
    void run_later(test_instance& item, int delay_ms,
                   std::function<void(test_instance&)> const& action)
    {
        std::int64_t const value = item.m_incarnation;
        m_events.emplace(m_now + std::chrono::milliseconds(delay_ms),
                         [this, &item, value, action]
                         {
                             if (item.m_incarnation != value)
                             {
                                 return;
                             }
                             if (item.m_paused)
                             {
                                 run_later(item, 20, action);
                                 return;
                             }
                             action(item);
                         });
    }

    int delay()
    {
        return random_int(0, 9) == 0 ? random_int(0, 2500) : random_int(0, 30);
    }

    void run_instance(test_instance& item)
    {
        if (item.m_paused)
        {
            return;
        }
        time_point const now = clock(item);
        if (item.m_table_link && m_now >= item.m_next_poll)
        {
            item.m_next_poll = m_now + 1s;
            run_later(item, delay(),
                      [this, now](test_instance& self) { read(self, now); });
        }
        for (lease_action const& action : item.m_manager->tick(now))
        {
            std::visit([&](auto const& each) { send(item, each); }, action);
        }
    }

    void read(test_instance& item, time_point sent_at)
    {
        std::vector<table::table_row> rows;
        for (auto const& [name, row] : m_table)
        {
            rows.push_back(row);
        }
        run_later(item, delay(),
                  [this, rows, sent_at](test_instance& self)
                  { self.m_manager->table_read(rows, sent_at, clock(self)); });
    }

    void send(test_instance& item, lease_transaction const& action)
    {
        bool const linked = item.m_table_link;
        std::int64_t const value = item.m_incarnation;
        // The table may apply the write after its sender has restarted.
        m_events.emplace(
            m_now + std::chrono::milliseconds(delay()),
            [=, this, &item]
            {
                table::transaction_reply reply;
                reply.m_status = table::transaction_status::not_applied;
                if (linked)
                {
                    reply = transact(action.m_transaction);
                }
                if (random_int(0, 9) == 0)
                {
                    reply = {};
                }
                if (item.m_incarnation == value)
                {
                    run_later(item, delay(),
                              [=, this](test_instance& self) {
                                  self.m_manager->transaction_done(
                                      action.m_number, reply, clock(self));
                              });
                }
            });
    }

    table::transaction_reply
    transact(table::table_transaction const& transaction)
    {
        table::transaction_reply reply;
        reply.m_status = table::transaction_status::conflict;
        for (table::table_condition const& each : transaction.m_conditions)
        {
            auto const found = m_table.find(each.m_row);
            table::table_row row{each.m_row, 0, ""};
            row = found == m_table.end() ? row : found->second;
            if (row.m_version != each.m_version)
            {
                reply.m_rows.push_back(row);
            }
        }
        if (!reply.m_rows.empty())
        {
            return reply;
        }
        reply.m_status = table::transaction_status::committed;
        for (table::table_put const& put : transaction.m_puts)
        {
            m_table[put.m_row] = {put.m_row, ++m_version, put.m_value};
            reply.m_rows.push_back({put.m_row, m_version, ""});
        }
        return reply;
    }

    void send(test_instance& from, send_lease_confirm const& action)
    {
        test_instance& to =
            *std::ranges::find(m_instances, action.m_to, &test_instance::m_id);
        if (to.m_partition != from.m_partition || random_int(0, 19) == 0)
        {
            return;
        }
        std::int64_t const value = from.m_incarnation;
        for (int copy = random_int(0, 9) == 0 ? 2 : 1; copy > 0; --copy)
        {
            run_later(
                to, delay(),
                [=, this, &from](test_instance& self)
                {
                    lease_confirm_reply const reply =
                        self.m_manager->confirm_requested(action.m_message,
                                                          clock(self));
                    if (from.m_incarnation != value || random_int(0, 19) == 0)
                    {
                        return;
                    }
                    run_later(from, delay(),
                              [this, reply](test_instance& holder) {
                                  holder.m_manager->reply_received(
                                      reply, clock(holder));
                              });
                });
        }
    }

    /** Checks the leases of all instances. Paused ones are included, since they
     *  could resume at any time. */
    void check()
    {
        for (std::string const& row : row_names)
        {
            int holders = 0;
            for (test_instance const& item : m_instances)
            {
                bool const held =
                    item.m_manager->held(row, clock(item)).has_value();
                holders += held;
                m_held_without_table += held && !item.m_table_link &&
                                        m_now - item.m_table_lost_at > 5s;
            }
            RC_ASSERT(holders <= 1);
            m_held_steps += holders;
        }
    }

    std::mt19937 m_random;
    std::vector<test_instance> m_instances;
    std::multimap<simulated_time, std::function<void()>> m_events;
    std::map<std::string, table::table_row> m_table;
    std::int64_t m_version = 0;
    int m_next_token = 1;
    simulated_time m_now{};
};

} // namespace

// Guards against two instances that act under the same lease at once: both
// would grant from the same limit or send orders.
TEST_CASE("a row has at most one holder at any time")
{
    int held = 0;
    int held_without_table = 0;
    bool const passed = rc::check(
        "leases under pauses, restarts, partitions, outages and lost answers",
        [&]
        {
            // Uses the full range of seeds from the first run; small sizes
            // would repeat the same seeds.
            auto const seed = *rc::gen::noShrink(rc::gen::resize(
                rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
            simulated_fleet test(seed);
            test.run(60s);
            held += test.m_held_steps;
            held_without_table += test.m_held_without_table;
        });
    CHECK(passed);
    WARN("steps with a holder: " << held << ", without the table: "
                                 << held_without_table);
    // Rules out that the property holds only because no lease was acquired.
    CHECK(held > 100000);
    CHECK(held_without_table > 1000);
}
