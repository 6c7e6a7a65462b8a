/** @file Continuous batching of the engine stand-in. */
#include "batch_base.hpp"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>

namespace daisylead::standin
{

namespace
{

using nlohmann::json;

constexpr int crash_exit_status = 42;
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

json usage_of(job const& item)
{
    return {{"prompt_tokens", item.m_prompt_tokens},
            {"completion_tokens", item.m_position},
            {"total_tokens", item.m_prompt_tokens + item.m_position},
            {"cached_tokens", item.m_cached_tokens}};
}

json choice_of(job const& item, char const* chat_member, json chat_value,
               std::string const& text)
{
    bool const ends = item.m_position >= item.m_max_tokens;
    json choice = {{"index", 0},
                   {"finish_reason", ends ? json("length") : json()}};
    if (item.m_chat)
    {
        choice[chat_member] = std::move(chat_value);
    }
    else
    {
        choice["text"] = text;
    }
    return choice;
}

void write_event(job& item, json const& chunk)
{
    item.m_call->write("data: " + chunk.dump() + "\n\n");
}

void write_token(job& item, std::string const& text)
{
    json chunk = {
        {"object", item.m_chat ? "chat.completion.chunk" : "text_completion"},
        {"position", item.m_position},
        {"choices",
         json::array({choice_of(item, "delta", {{"content", text}}, text)})}};
    if (item.m_position >= item.m_max_tokens)
    {
        chunk["usage"] = usage_of(item);
    }
    write_event(item, chunk);
}

json whole_answer(job const& item)
{
    json const message = {{"role", "assistant"}, {"content", item.m_text}};
    return {{"object", item.m_chat ? "chat.completion" : "text_completion"},
            {"choices",
             json::array({choice_of(item, "message", message, item.m_text)})},
            {"usage", usage_of(item)}};
}

} // namespace

std::uint64_t prompt_seed(std::string const& prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::string token_text(std::uint64_t seed, std::int64_t position)
{
    std::uint64_t const hash =
        XXH3_64bits_withSeed(&position, sizeof(position), seed);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%04x.%lld ",
                  static_cast<unsigned>(hash & 0xffffU),
                  static_cast<long long>(position));
    return text.data();
}

batch::batch(asio::io_context& context, options const& options,
             prompt_cache& cache)
    : m_context(context), m_options(options), m_cache(cache), m_timer(context)
{
}

void batch::set_faults(batch_faults const& faults)
{
    m_faults = faults;
    schedule_step();
}

std::int64_t batch::waiting_tokens() const
{
    std::int64_t tokens = 0;
    for (auto const& item : m_waiting)
    {
        tokens += item->m_prompt_tokens;
    }
    for (auto const& item : m_running)
    {
        tokens += item->m_prefill_left;
    }
    return tokens;
}

void batch::add(std::shared_ptr<job> const& item)
{
    if (item->m_stream)
    {
        item->m_call->start("text/event-stream");
    }
    if (m_options.m_prefill_rate == 0 && !m_faults.m_stall)
    {
        begin(*item);
        std::int64_t budget = unlimited;
        while (!advance(*item, budget))
        {
        }
        return;
    }
    item->m_call->set_closed_hook(
        [this, weak = std::weak_ptr<job>(item)]
        {
            if (auto const closed = weak.lock())
            {
                cancel(closed);
            }
        });
    auto const behind =
        std::upper_bound(m_waiting.begin(), m_waiting.end(), item,
                         [](auto const& a, auto const& b)
                         { return a->m_priority < b->m_priority; });
    m_waiting.insert(behind, item);
    schedule_step();
}

void batch::cancel(std::shared_ptr<job> const& item)
{
    ++m_counts.m_cancelled;
    std::erase(m_waiting, item);
    std::erase(m_running, item);
}

void batch::schedule_step()
{
    if (m_scheduled || (m_waiting.empty() && m_running.empty()))
    {
        return;
    }
    m_scheduled = true;
    m_timer.expires_after(m_options.m_step);
    m_timer.async_wait(
        [this](asio::error_code const& failure)
        {
            m_scheduled = false;
            if (!failure)
            {
                step();
            }
        });
}

void batch::step()
{
    if (!m_faults.m_stall)
    {
        admit();
        std::int64_t budget = m_options.m_prefill_rate == 0
                                  ? unlimited
                                  : std::max<std::int64_t>(
                                        1, m_options.m_prefill_rate *
                                               m_options.m_step.count() / 1000);
        job_list const running = m_running;
        for (auto const& item : running)
        {
            if (advance(*item, budget))
            {
                std::erase(m_running, item);
            }
        }
    }
    schedule_step();
}

void batch::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_options.m_max_batch)
    {
        begin(*m_waiting.front());
        m_running.push_back(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
}

void batch::begin(job& item)
{
    std::size_t const cached = m_cache.use_prefix(item.m_salt, item.m_blocks);
    if (!item.m_blocks.empty())
    {
        item.m_cached_tokens = item.m_prompt_tokens *
                               static_cast<std::int64_t>(cached) /
                               static_cast<std::int64_t>(item.m_blocks.size());
    }
    item.m_prefill_left = item.m_prompt_tokens - item.m_cached_tokens;
    m_counts.m_cached_tokens += item.m_cached_tokens;
    m_counts.m_computed_tokens += item.m_prefill_left;
}

bool batch::advance(job& item, std::int64_t& prefill_budget)
{
    if (item.m_prefill_left > 0)
    {
        std::int64_t const tokens =
            std::min(item.m_prefill_left, prefill_budget);
        item.m_prefill_left -= tokens;
        prefill_budget -= tokens;
        if (item.m_prefill_left > 0)
        {
            return false;
        }
    }
    if (item.m_generated == 0)
    {
        m_cache.store(item.m_salt, item.m_blocks);
    }
    return generate(item);
}

bool batch::generate(job& item)
{
    if (item.m_position < item.m_max_tokens)
    {
        ++item.m_position;
        ++item.m_generated;
        ++m_counts.m_generated_tokens;
        std::string const text = token_text(item.m_seed, item.m_position);
        item.m_text += text;
        if (item.m_stream)
        {
            write_token(item, text);
        }
        if (apply_fault(item))
        {
            return true;
        }
    }
    else if (item.m_stream && item.m_generated == 0)
    {
        // A resume after the last token still gets the usage.
        write_event(item,
                    {{"choices", json::array()}, {"usage", usage_of(item)}});
    }
    if (item.m_position < item.m_max_tokens)
    {
        return false;
    }
    finish(item);
    return true;
}

/** Applies a fault that is due. Bytes written before get time to leave, so that
 *  the fault falls into the middle of a stream.
 *  @return whether the request makes no more progress */
bool batch::apply_fault(job& item)
{
    milliseconds const delay = 2 * m_options.m_step + milliseconds(1);
    if (m_faults.m_die_after > 0 && item.m_generated >= m_faults.m_die_after)
    {
        after(m_context, delay, [] { _exit(crash_exit_status); });
        return true;
    }
    if (m_faults.m_reset_after > 0 &&
        item.m_generated >= m_faults.m_reset_after)
    {
        m_faults.m_reset_after = 0;
        after(m_context, delay, [open = item.m_call] { open->reset(); });
        return true;
    }
    if (m_faults.m_truncate_after > 0 && item.m_stream &&
        item.m_generated >= m_faults.m_truncate_after)
    {
        m_faults.m_truncate_after = 0;
        item.m_call->finish();
        return true;
    }
    return false;
}

void batch::finish(job& item)
{
    ++m_counts.m_completed;
    if (!item.m_stream)
    {
        item.m_call->send(200, whole_answer(item));
        return;
    }
    item.m_call->write("data: [DONE]\n\n");
    item.m_call->finish();
}

} // namespace daisylead::standin
