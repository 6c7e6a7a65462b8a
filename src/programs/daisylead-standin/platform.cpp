/** @file Stand-in for the platform: table, objects, instance list, weights. */
#include "standin_base.hpp"
#include "table_base.hpp"

#include <daisylead/base/error_type.hpp>

#include <algorithm>

namespace daisylead::standin
{

namespace
{

using nlohmann::json;

constexpr int status_unavailable = 503;

struct platform_faults
{
    bool m_table_down = false;
    bool m_objects_down = false;
    bool m_list_down = false;
    bool m_hang = false;             ///< what is down never answers
    milliseconds m_latency{0};       ///< before each answer
    std::int64_t m_lose_answers = 0; ///< transactions applied without answer
    std::int64_t m_refuse = 0;       ///< transactions dropped unapplied
};

class platform : public standin
{
public:
    platform(asio::io_context& context, options const& options)
        : m_context(context), m_options(options),
          m_listener(context, options.m_listen,
                     [this](std::shared_ptr<call> const& item)
                     { answer(item); })
    {
    }

private:
    void answer(std::shared_ptr<call> const& item)
    {
        std::string const& path = item->request().m_path;
        if (path.starts_with("/table/"))
        {
            answer_table(item);
        }
        else if (path.starts_with("/objects/"))
        {
            answer_object(item);
        }
        else if (path == "/instances")
        {
            ++m_counts["lists"];
            if (!is_down(m_faults.m_list_down, *item))
            {
                reply(item, 200, {{"instances", m_instances}});
            }
        }
        else if (path.starts_with("/weights/"))
        {
            load_weights(item);
        }
        else
        {
            answer_test(item);
        }
    }

    /** Requests of the test itself; faults do not apply to them. */
    void answer_test(std::shared_ptr<call> const& item)
    {
        http::server_request const& request = item->request();
        if (request.m_path == "/standin/stats")
        {
            item->send(200, stats());
        }
        else if (request.m_path == "/standin/faults")
        {
            set_faults(parse_object(*request.m_body));
            item->send(200, json::object());
        }
        else if (request.m_path == "/standin/instances")
        {
            set_instances(*request.m_body);
            item->send(200, json::object());
        }
        else
        {
            item->send(404, error_body("not_found", "no such path"));
        }
    }

    /** Answers for a part that is down.
     *  @return whether it is down */
    bool is_down(bool down, call& item) const
    {
        if (down && !m_faults.m_hang)
        {
            item.send(status_unavailable, error_body("down", "out of order"));
        }
        return down;
    }

    void reply(std::shared_ptr<call> const& item, int status, json body)
    {
        after(m_context, m_faults.m_latency,
              [item, status, body = std::move(body)]
              { item->send(status, body); });
    }

    void answer_table(std::shared_ptr<call> const& item)
    {
        http::server_request const& request = item->request();
        bool const is_write = request.m_path == "/table/transact";
        ++m_counts[is_write ? "transactions" : "reads"];
        if (is_write && m_faults.m_refuse > 0)
        {
            --m_faults.m_refuse;
            ++m_counts["refused"];
            item->reset();
            return;
        }
        if (is_down(m_faults.m_table_down, *item))
        {
            return;
        }
        json const body = parse_object(*request.m_body);
        if (!is_write)
        {
            reply(item, 200, m_table.read(body));
            return;
        }
        json const result = m_table.transact(body);
        bool const committed = result.at("committed");
        ++m_counts[committed ? "commits" : "conflicts"];
        if (committed && m_faults.m_lose_answers > 0)
        {
            --m_faults.m_lose_answers;
            ++m_counts["lost_answers"];
            item->reset();
            return;
        }
        reply(item, committed ? 200 : 409, result);
    }

    void answer_object(std::shared_ptr<call> const& item)
    {
        http::server_request const& request = item->request();
        bool const is_write = request.m_method == "PUT";
        ++m_counts[is_write ? "object_writes" : "object_reads"];
        if (is_down(m_faults.m_objects_down, *item))
        {
            return;
        }
        if (is_write)
        {
            m_objects[request.m_path] = request.m_body;
            reply(item, 200, json::object());
            return;
        }
        auto const found = m_objects.find(request.m_path);
        if (found == m_objects.end())
        {
            reply(item, 404, error_body("not_found", "no such object"));
            return;
        }
        after(m_context, m_faults.m_latency,
              [item, content = found->second]
              { item->send_bytes(200, "application/octet-stream", *content); });
    }

    /** Loads above the limit slow down in proportion to their number. */
    void load_weights(std::shared_ptr<call> const& item)
    {
        ++m_counts["weight_loads"];
        ++m_loads;
        m_loads_peak = std::max(m_loads_peak, m_loads);
        std::int64_t const limit = m_options.m_weights_at_once;
        milliseconds const time =
            m_options.m_weights * std::max(m_loads, limit) / limit;
        after(m_context, time + m_faults.m_latency,
              [this, item]
              {
                  --m_loads;
                  item->send(200, {{"weights", item->request().m_path}});
              });
    }

    void set_instances(std::string const& text)
    {
        json const body = parse_json(text);
        json const list = body.is_object() ? body.at("instances") : body;
        if (!list.is_array())
        {
            throw error("a list of instances is expected");
        }
        after(m_context, m_options.m_list_lag,
              [this, list] { m_instances = list; });
    }

    void set_faults(json const& body)
    {
        platform_faults& f = m_faults;
        f.m_table_down = body.value("table_down", f.m_table_down);
        f.m_objects_down = body.value("objects_down", f.m_objects_down);
        f.m_list_down = body.value("list_down", f.m_list_down);
        f.m_hang = body.value("hang", f.m_hang);
        f.m_latency =
            milliseconds(integer_of(body, "latency_ms", f.m_latency.count()));
        f.m_lose_answers = integer_of(body, "lose_answers", f.m_lose_answers);
        f.m_refuse = integer_of(body, "refuse", f.m_refuse);
        // A test counts the peak from here, without the loads of its start.
        m_loads_peak = m_loads;
    }

    json stats() const
    {
        json result = m_counts;
        result["weight_loads_now"] = m_loads;
        result["weight_loads_peak"] = m_loads_peak;
        return result;
    }

    asio::io_context& m_context;
    options m_options;
    platform_faults m_faults;
    table m_table;
    std::map<std::string, http::shared_body> m_objects;
    json m_instances = json::array();
    std::map<std::string, std::int64_t> m_counts;
    std::int64_t m_loads = 0;
    std::int64_t m_loads_peak = 0;
    listener m_listener;
};

} // namespace

std::unique_ptr<standin> make_platform(asio::io_context& context,
                                       options const& options)
{
    return std::make_unique<platform>(context, options);
}

} // namespace daisylead::standin
