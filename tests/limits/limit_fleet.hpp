/** @file Simulated instances that share a limit, with message delivery and
 *  fault injection. */
#pragma once

#include <daisylead/limits/limit_client_base.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace limit_test
{

using namespace daisylead;
using namespace daisylead::limits;
using namespace std::chrono_literals;

using real_time = std::chrono::microseconds;

enum class fault
{
    none,
    owner_crash,
    owner_pause,
    messages,
    partition,
    fleet_restart,
    rate_change,
    everything
};

constexpr std::array fault_names = {"none",        "owner crash",
                                    "owner pause", "loss and duplication",
                                    "partition",   "restart of all instances",
                                    "rate change", "everything"};

organisation_id const test_organisation("tenant");
constexpr int default_static_percent = 5;
constexpr real_time lease_time = 1s;
constexpr real_time step = 10ms;
constexpr real_time spike_interval = 2s;
constexpr real_time spike_duration = 300ms;
/** Initial time without faults; calls in it are not counted, because buckets
 *  start empty. */
constexpr real_time warm_up_time = 4s;

/** A call that was admitted or refused. */
struct call_record
{
    real_time m_at;
    double m_tokens; ///< reserved; used, once it ended
    bool m_admitted;
    bool m_fits_reference; ///< if refused: m_reference had enough tokens
};

struct fleet_instance
{
    instance_id m_id;
    std::int64_t m_incarnation = 0;
    double m_clock_rate = 1;
    duration m_clock_offset{};
    real_time m_paused_until{};
    int m_partition = 0;
    std::unique_ptr<static_share> m_share;
    std::unique_ptr<limit_owner> m_owner;
    std::unique_ptr<limit_client> m_client;
};

/** Runs the instances and delivers their messages. The lease is simulated in
 *  real time and without a gap: a new holder may start at the instant at which
 *  the lease of the previous one ends. */
class fleet
{
public:
    /** @param has_spikes whether all instances use up the burst at the same
     * time at intervals, with frequent changes of the lease holder */
    fleet(std::uint32_t seed, fault kind, double load, int rate,
          bool has_spikes)
        : m_random(seed), m_kind(kind), m_load(load), m_has_spikes(has_spikes),
          m_rate(rate), m_max_rate(rate),
          m_reference({rate * (1 + clock_drift), 300}, time_point())
    {
        m_instances.resize(pick(2, 4));
        for (std::size_t index = 0; index < m_instances.size(); ++index)
        {
            fleet_instance& item = m_instances[index];
            item.m_id = instance_id("i" + std::to_string(index));
            item.m_clock_rate = 0.99 + 0.01 * pick(0, 2);
            item.m_clock_offset = std::chrono::seconds(pick(1000, 100000));
            restart(item);
        }
    }

    /** @param percent static share
     *  @param has_refunds whether some calls use less than they reserve
     *  @pre run() was not called */
    void set_shares(int percent, bool has_refunds)
    {
        m_has_refunds = has_refunds;
        m_static_percent = percent;
        for (fleet_instance& item : m_instances)
        {
            restart(item);
        }
    }

    void run(real_time length)
    {
        for (; m_now < length; m_now += step)
        {
            inject_faults();
            move_lease();
            while (!m_events.empty() && m_events.begin()->first <= m_now)
            {
                auto const action = m_events.begin()->second;
                m_events.erase(m_events.begin());
                action();
            }
            for (fleet_instance& item : m_instances)
            {
                run_step(item);
            }
        }
    }

    /** @return maximum excess over the limit in any window, tokens. It is
     *  computed with the smallest bucket that allows all calls so far, which
     *  covers windows of every length. */
    double max_excess() const
    {
        double worst = 0;
        visit_calls([&](call_record const&, double used)
                    { worst = std::max(worst, used - m_max_burst); });
        return worst;
    }

    /** @return number of refused calls that one bucket for the whole fleet,
     *  without any delay, would have admitted */
    int false_refusals() const
    {
        return static_cast<int>(std::ranges::count_if(
            m_records,
            [](call_record const& item)
            {
                return !item.m_admitted && item.m_fits_reference &&
                       item.m_at >= warm_up_time;
            }));
    }

    int count_calls(bool admitted) const
    {
        return static_cast<int>(std::ranges::count_if(
            m_records,
            [&](call_record const& item) {
                return item.m_admitted == admitted && item.m_at >= warm_up_time;
            }));
    }

private:
    int pick(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    bool has_fault(fault kind) const
    {
        return m_kind == kind || m_kind == fault::everything;
    }

    time_point clock(fleet_instance const& item) const
    {
        return time_point(
            item.m_clock_offset +
            std::chrono::duration_cast<duration>(m_now * item.m_clock_rate));
    }

    void visit_calls(
        std::function<void(call_record const&, double)> const& visit) const
    {
        double used = 0;
        real_time last_time{};
        for (call_record const& item : m_records)
        {
            double const elapsed =
                std::chrono::duration<double>(item.m_at - last_time).count();
            used = std::max(0.0, used - (elapsed * m_max_rate));
            last_time = item.m_at;
            used += item.m_admitted ? item.m_tokens : 0;
            visit(item, used);
        }
    }

    void restart(fleet_instance& item)
    {
        ++item.m_incarnation;
        client_options options;
        options.m_self = item.m_id;
        options.m_incarnation = incarnation(item.m_incarnation);
        item.m_share = std::make_unique<static_share>(clock(item));
        item.m_owner = std::make_unique<limit_owner>(
            owner_hooks{[this, &item](organisation_id const&, time_point)
                        {
                            return lease_of(item);
                        }});
        item.m_client = std::make_unique<limit_client>(
            options,
            client_hooks{[this](organisation_id const&)
                         {
                             return std::optional(m_instances[m_holder].m_id);
                         }},
            *item.m_share);
        configure(item, m_rate, m_burst);
    }

    void configure(fleet_instance& item, int rate, int burst)
    {
        config::organisation entry;
        entry.m_id = test_organisation;
        entry.m_rate = token_rate(rate);
        entry.m_burst = token_count(burst);
        item.m_owner->set_limits({entry}, m_static_percent, clock(item));
        item.m_share->set_limits({entry}, m_static_percent, m_instances.size(),
                                 clock(item));
    }

    std::optional<held_lease> lease_of(fleet_instance const& item) const
    {
        if (&item != &m_instances[m_holder] || m_now >= m_lease_end ||
            item.m_incarnation != m_holder_incarnation)
        {
            return std::nullopt;
        }
        return held_lease{fence_number(m_fence), m_acquired_at};
    }

    void move_lease()
    {
        fleet_instance& holder = m_instances[m_holder];
        bool const alive = m_now >= holder.m_paused_until &&
                           holder.m_incarnation == m_holder_incarnation;
        bool const reaches_table = holder.m_partition == 0;
        if (alive && reaches_table && m_now < m_lease_end)
        {
            m_lease_end = m_now + lease_time;
        }
        if (m_now < m_lease_end)
        {
            return;
        }
        int const next = pick(0, static_cast<int>(m_instances.size()) - 1);
        if (m_now < m_instances[next].m_paused_until ||
            m_instances[next].m_partition != 0)
        {
            return;
        }
        m_holder = next;
        m_holder_incarnation = m_instances[next].m_incarnation;
        m_acquired_at = clock(m_instances[next]);
        m_lease_end = m_now + lease_time;
        ++m_fence;
    }

    void inject_faults()
    {
        int const steps_between = m_has_spikes ? 99 : 399;
        if (m_now < warm_up_time || pick(0, steps_between) != 0)
        {
            return;
        }
        fleet_instance& holder = m_instances[m_holder];
        if (m_has_spikes && pick(0, 1) == 0)
        {
            m_lease_end = m_now; // the holder releases its lease
        }
        if (has_fault(fault::owner_crash) && pick(0, 1) == 0)
        {
            restart(holder);
        }
        if (has_fault(fault::owner_pause) && pick(0, 1) == 0)
        {
            holder.m_paused_until =
                m_now + std::chrono::milliseconds(pick(10, 3000));
        }
        if (has_fault(fault::partition) && pick(0, 1) == 0)
        {
            for (fleet_instance& item : m_instances)
            {
                item.m_partition = pick(0, 1);
            }
        }
        if (has_fault(fault::fleet_restart) && pick(0, 1) == 0)
        {
            for (fleet_instance& item : m_instances)
            {
                restart(item);
            }
        }
        if (has_fault(fault::rate_change) && pick(0, 1) == 0)
        {
            m_rate = pick(100, 400);
            m_burst = pick(100, 400);
            m_max_rate = std::max<double>(m_max_rate, m_rate);
            m_max_burst = std::max<double>(m_max_burst, m_burst);
            for (fleet_instance& item : m_instances)
            {
                schedule(item, pick(0, 1000),
                         [this](fleet_instance& self)
                         { configure(self, m_rate, m_burst); });
            }
        }
    }

    /** Runs an action on the instance after a delay, and after a pause of the
     *  instance; drops it if the instance restarted in between. */
    void schedule(fleet_instance& item, int delay_ms,
                  std::function<void(fleet_instance&)> const& action)
    {
        std::int64_t const value = item.m_incarnation;
        m_events.emplace(m_now + std::chrono::milliseconds(delay_ms),
                         [this, &item, value, action]
                         {
                             if (item.m_incarnation != value)
                             {
                                 return;
                             }
                             if (m_now < item.m_paused_until)
                             {
                                 schedule(item, 10, action);
                                 return;
                             }
                             action(item);
                         });
    }

    /** Delivers a message, which may be lost, duplicated or delayed. */
    void transmit(fleet_instance const& from, fleet_instance& to,
                  std::function<void(fleet_instance&)> const& action)
    {
        if (from.m_partition != to.m_partition)
        {
            return;
        }
        bool const bad = has_fault(fault::messages);
        // One message in 20 is lost and one in 10 is duplicated.
        int const draw = bad ? pick(0, 19) : 19;
        int const copies = draw == 0 ? 0 : (draw <= 2 ? 2 : 1);
        for (int copy = 0; copy < copies; ++copy)
        {
            bool const late = bad && pick(0, 19) == 0;
            schedule(to, late ? pick(0, 600) : pick(0, 4), action);
        }
    }

    void run_step(fleet_instance& item)
    {
        if (m_now < item.m_paused_until)
        {
            return;
        }
        perform(item, item.m_client->tick(clock(item)));
        // Mean number of calls per step: a call has 30 tokens on average and a
        // step is 0.01 s.
        double const calls = m_load * m_rate / 30 * 0.01 /
                             static_cast<double>(m_instances.size());
        int count = std::uniform_real_distribution<>(0, 1)(m_random) < calls;
        count += m_has_spikes && m_now % spike_interval < spike_duration;
        for (; count > 0; --count)
        {
            start_call(item);
        }
    }

    void start_call(fleet_instance& item)
    {
        request_id const id("r" + std::to_string(m_next_call++));
        int const tokens = pick(1, 59);
        m_amounts[id] = tokens;
        perform(item, item.m_client->request(id, test_organisation,
                                             token_count(tokens), clock(item)));
    }

    void perform(fleet_instance& item, client_actions const& actions)
    {
        for (client_action const& action : actions)
        {
            std::visit([&](auto const& each) { handle(item, each); }, action);
        }
    }

    fleet_instance& find(instance_id const& id)
    {
        return *std::ranges::find(m_instances, id, &fleet_instance::m_id);
    }

    void handle(fleet_instance& item, send_reserve const& action)
    {
        reserve_request const message = action.m_message;
        transmit(item, find(action.m_owner),
                 [this, &item, message](fleet_instance& self)
                 {
                     reserve_reply const reply =
                         self.m_owner->handle(message, clock(self));
                     if (message.m_incarnation.value() != item.m_incarnation)
                     {
                         return;
                     }
                     transmit(self, item,
                              [this, reply](fleet_instance& sender) {
                                  perform(sender,
                                          sender.m_client->reply_received(
                                              reply, clock(sender)));
                              });
                 });
    }

    void handle(fleet_instance& item, send_settle const& action)
    {
        settle const message = action.m_message;
        transmit(item, find(action.m_owner),
                 [this, message](fleet_instance& self)
                 { self.m_owner->handle(message, clock(self)); });
    }

    void handle(fleet_instance& item, call_granted const& action)
    {
        int const tokens = m_amounts[action.m_request];
        bool const is_short = m_has_refunds && pick(0, 2) == 0;
        int const used = is_short ? pick(0, tokens) : tokens;
        std::size_t const index = m_records.size();
        m_records.push_back({m_now, static_cast<double>(tokens), true, false});
        refill_reference();
        m_reference.reserve(tokens);
        bucket_sequence const sequence = m_reference.confirm(tokens);
        schedule(
            item, pick(0, 3000),
            [this, action, tokens, used, index, sequence](fleet_instance& self)
            {
                m_records[index].m_tokens = used;
                refill_reference();
                m_reference.refund(tokens - used, sequence);
                self.m_client->finished(action.m_request, token_count(used),
                                        clock(self));
            });
    }

    void handle(fleet_instance& item, call_refused const& action)
    {
        static_cast<void>(item);
        refill_reference();
        auto const tokens = static_cast<double>(m_amounts[action.m_request]);
        m_records.push_back(
            {m_now, tokens, false, tokens <= m_reference.level()});
    }

    void refill_reference()
    {
        m_reference.advance(time_point(m_now));
        bucket_limit const limit{m_rate * (1 + clock_drift),
                                 static_cast<double>(m_burst)};
        m_reference.set_limit(limit);
    }

    std::mt19937 m_random;
    fault m_kind;
    double m_load; ///< demand relative to the rate
    bool m_has_spikes;
    int m_rate; ///< tokens per second
    double m_max_rate;
    token_bucket m_reference; ///< one bucket for the whole fleet
    std::vector<fleet_instance> m_instances;
    std::multimap<real_time, std::function<void()>> m_events;
    std::map<request_id, int> m_amounts;
    std::vector<call_record> m_records;
    real_time m_now{};
    int m_burst = 300;
    int m_static_percent = default_static_percent;
    bool m_has_refunds = true;
    double m_max_burst = 300;
    int m_next_call = 0;
    int m_holder = 0;
    std::int64_t m_holder_incarnation = 0;
    std::int64_t m_fence = 0;
    time_point m_acquired_at{};
    real_time m_lease_end{};
};

} // namespace limit_test
