/** @file Stand-in for an engine. */
#include "batch_base.hpp"
#include "weights_base.hpp"

#include <daisylead/base/error_type.hpp>

#include <unistd.h>

#include <charconv>
#include <random>

namespace daisylead::standin
{

namespace
{

using nlohmann::json;

constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr int crash_exit_status = 42;
constexpr std::int64_t default_tokens = 16;
constexpr std::int64_t max_tokens = 100000;
constexpr std::int64_t bytes_per_token = 4;

std::string random_name()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

void append_content(json const& content, std::string& prompt)
{
    if (content.is_string())
    {
        prompt += content.get_ref<std::string const&>();
    }
    else if (!content.is_null())
    {
        prompt += content.dump(-1, ' ', false, json::error_handler_t::replace);
    }
}

std::string prompt_of(json const& body, bool chat)
{
    if (!chat)
    {
        return body.at("prompt").get<std::string>();
    }
    std::string prompt;
    for (json const& message : body.at("messages"))
    {
        prompt += message.at("role").get<std::string>() + ": ";
        append_content(message.at("content"), prompt);
        prompt += "\n";
    }
    return prompt;
}

/** Reads the members that the router adds to the caller's body. */
void read_router_members(json const& body, job& item)
{
    json const members = body.value("daisylead", json::object());
    item.m_salt = members.value("cache_salt", "");
    item.m_priority = integer_of(members, "priority", 0);
    item.m_blocks = members.value("blocks", std::vector<std::string>());
    item.m_position = integer_of(members, "resume_from", 0);
    item.m_text = members.value("resume_text", "");
}

std::shared_ptr<job> make_job(std::shared_ptr<call> const& open,
                              json const& body)
{
    auto item = std::make_shared<job>();
    item->m_call = open;
    item->m_chat = open->request().m_path == "/v1/chat/completions";
    item->m_model = body.at("model").get<std::string>();
    item->m_prompt = prompt_of(body, item->m_chat);
    item->m_seed = prompt_seed(item->m_prompt);
    item->m_stream = body.value("stream", false);
    item->m_max_tokens = integer_of(body, "max_tokens", default_tokens);
    item->m_prompt_tokens =
        static_cast<std::int64_t>(item->m_prompt.size()) / bytes_per_token + 1;
    read_router_members(body, *item);
    if (item->m_max_tokens < 1 || item->m_max_tokens > max_tokens ||
        item->m_position < 0 || item->m_position > item->m_max_tokens)
    {
        throw error("max_tokens or resume_from is out of range");
    }
    return item;
}

/** @return whether the text of a resume is what this engine generates. */
bool is_resume_text_right(job const& item)
{
    std::string expected;
    for (std::int64_t k = 1; k <= item.m_position; ++k)
    {
        expected += token_text(item.m_seed, k);
    }
    return expected == item.m_text;
}

std::int64_t after_parameter(std::string const& query)
{
    constexpr std::string_view name = "after=";
    std::int64_t value = 0;
    if (query.starts_with(name))
    {
        std::from_chars(query.data() + name.size(), query.data() + query.size(),
                        value);
    }
    return value;
}

class engine : public standin
{
public:
    engine(asio::io_context& context, options const& options)
        : m_cache(options.m_cache_blocks), m_batch(context, options, m_cache),
          m_weights(context, options), m_report_timer(context),
          m_listener(context, options.m_listen,
                     [this](std::shared_ptr<call> const& item)
                     { answer(item); })
    {
        sample_report();
    }

private:
    using clock = std::chrono::steady_clock;

    void answer(std::shared_ptr<call> const& item)
    {
        http::server_request const& request = item->request();
        std::string const& path = request.m_path;
        if (path == "/v1/chat/completions" || path == "/v1/completions")
        {
            take_generation(item);
        }
        else if (path == "/engine/load")
        {
            item->send(200, report());
        }
        else if (path == "/engine/cache_events")
        {
            item->send(
                200, identified(m_cache.events(after_parameter(request.m_query),
                                               m_event_delay)));
        }
        else if (path == "/engine/cache_snapshot")
        {
            item->send(200, identified(m_cache.snapshot()));
        }
        else if (path == "/engine/orders")
        {
            answer_orders(*item);
        }
        else if (path == "/standin/stats")
        {
            item->send(200, stats());
        }
        else if (path == "/standin/faults")
        {
            set_faults(parse_object(*request.m_body));
            item->send(200, json::object());
        }
        else
        {
            item->send(404, error_body("not_found", "no such path"));
        }
    }

    void take_generation(std::shared_ptr<call> const& open)
    {
        ++m_requests;
        count_headers(m_headers, open->request().m_headers);
        json const body = parse_object(*open->request().m_body);
        auto const item = make_job(open, body);
        json const members = body.value("daisylead", json::object());
        m_attempts.add(members.value("attempt", ""));
        m_salts.add(item->m_salt);
        crash_if_asked(*item);
        if (refuse_generation(*item, members.value("weights_version", "")))
        {
            return;
        }
        m_resumes += item->m_position > 0 ? 1 : 0;
        m_started_while_leaving += m_state == "leaving" ? 1 : 0;
        m_batch.add(item);
    }

    void crash_if_asked(job const& item) const
    {
        if (!m_crash_on.empty() &&
            item.m_prompt.find(m_crash_on) != std::string::npos)
        {
            _exit(crash_exit_status);
        }
    }

    bool refuse_generation(job const& item, std::string const& version)
    {
        if (!m_weights.serves(item.m_model))
        {
            item.m_call->send(status_unavailable,
                              error_body(m_weights.is_loading()
                                             ? "loading"
                                             : "model_not_loaded",
                                         "the model is not loaded"));
            return true;
        }
        if (!m_weights.matches(item.m_model, version))
        {
            ++m_mismatches;
            item.m_call->send(status_conflict,
                              error_body("weights_version_mismatch",
                                         "another weights version is loaded"));
            return true;
        }
        if (!is_resume_text_right(item))
        {
            ++m_wrong_resumes;
            item.m_call->send(
                status_bad_request,
                error_body("resume_mismatch", "resume_text is not the answer"));
            return true;
        }
        return false;
    }

    void answer_orders(call& item)
    {
        if (item.request().m_method == "GET")
        {
            item.send(200, identified(m_weights.state()));
            return;
        }
        if (m_weights.order(parse_object(*item.request().m_body)))
        {
            item.send(200, identified(m_weights.state()));
            return;
        }
        item.send(status_conflict,
                  error_body("stale_fence", "a newer fence was seen"));
    }

    json identified(json body) const
    {
        body["incarnation"] = m_incarnation;
        return body;
    }

    std::string state() const
    {
        if (m_state != "serving")
        {
            return m_state;
        }
        return m_weights.is_loading() ? "loading" : "serving";
    }

    /** Takes the load report that is handed out until the next sample. */
    void sample_report()
    {
        m_report = {{"incarnation", m_incarnation},
                    {"state", state()},
                    {"running", m_batch.running()},
                    {"waiting", m_batch.waiting()},
                    {"waiting_tokens", m_batch.waiting_tokens()},
                    {"models", m_weights.loaded()}};
        m_report_time = clock::now();
        m_report_timer.expires_after(m_report_lag);
        m_report_timer.async_wait(
            [this](asio::error_code const& failure)
            {
                if (!failure)
                {
                    sample_report();
                }
            });
    }

    json report() const
    {
        json result = m_report;
        result["age_ms"] = std::chrono::duration_cast<milliseconds>(
                               clock::now() - m_report_time)
                               .count();
        return result;
    }

    void set_faults(json const& body)
    {
        batch_faults f = m_batch.faults();
        f.m_stall = body.value("stall", f.m_stall);
        f.m_die_after = integer_of(body, "die_after_tokens", f.m_die_after);
        f.m_reset_after =
            integer_of(body, "reset_after_tokens", f.m_reset_after);
        f.m_truncate_after =
            integer_of(body, "truncate_after_tokens", f.m_truncate_after);
        m_batch.set_faults(f);
        m_crash_on = body.value("crash_on", m_crash_on);
        m_state = body.value("state", m_state);
        m_cache.lose_events(integer_of(body, "event_gap", 0));
        m_event_delay = milliseconds(
            integer_of(body, "event_delay_ms", m_event_delay.count()));
        m_report_lag = milliseconds(std::max<std::int64_t>(
            1, integer_of(body, "load_lag_ms", m_report_lag.count())));
    }

    json stats() const
    {
        batch_counts const& counts = m_batch.counts();
        return identified({{"requests", m_requests},
                           {"completed", counts.m_completed},
                           {"cancelled", counts.m_cancelled},
                           {"running", m_batch.running()},
                           {"waiting", m_batch.waiting()},
                           {"generated_tokens", counts.m_generated_tokens},
                           {"computed_tokens", counts.m_computed_tokens},
                           {"cached_tokens", counts.m_cached_tokens},
                           {"resumes", m_resumes},
                           {"wrong_resumes", m_wrong_resumes},
                           {"mismatches", m_mismatches},
                           {"started_while_leaving", m_started_while_leaving},
                           {"attempts", m_attempts.counts()},
                           {"salts", m_salts.counts()},
                           {"headers", m_headers.counts()}});
    }

    std::string m_incarnation = random_name();
    prompt_cache m_cache;
    batch m_batch;
    weights m_weights;
    std::string m_state = "serving";
    std::string m_crash_on;
    milliseconds m_event_delay{50};
    milliseconds m_report_lag{50};
    json m_report;
    clock::time_point m_report_time;
    asio::steady_timer m_report_timer;
    std::int64_t m_requests = 0;
    std::int64_t m_resumes = 0;
    std::int64_t m_wrong_resumes = 0;
    std::int64_t m_mismatches = 0;
    std::int64_t m_started_while_leaving = 0;
    name_counter m_attempts;
    name_counter m_salts;
    name_counter m_headers;
    listener m_listener;
};

} // namespace

std::unique_ptr<standin> make_engine(asio::io_context& context,
                                     options const& options)
{
    return std::make_unique<engine>(context, options);
}

} // namespace daisylead::standin
