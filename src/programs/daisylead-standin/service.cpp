/** @file Stand-in for a plain service. */
#include "standin_base.hpp"

namespace daisylead::standin
{

namespace
{

using nlohmann::json;

struct service_faults
{
    std::int64_t m_reset_before = 0;    ///< calls reset before they run
    std::int64_t m_reset_after_run = 0; ///< calls reset after they ran
    milliseconds m_latency{0};          ///< between a run and its answer
};

class service : public standin
{
public:
    service(asio::io_context& context, options const& options)
        : m_context(context),
          m_listener(context, options.m_listen,
                     [this](std::shared_ptr<call> const& item)
                     { answer(item); })
    {
    }

private:
    void answer(std::shared_ptr<call> const& item)
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
        else
        {
            run(item);
        }
    }

    void run(std::shared_ptr<call> const& item)
    {
        http::server_request const& request = item->request();
        ++m_received;
        count_headers(m_headers, request.m_headers);
        m_queries.add(request.m_query);
        if (m_faults.m_reset_before > 0)
        {
            --m_faults.m_reset_before;
            item->reset();
            return;
        }
        ++m_runs;
        m_paths.add(request.m_method + " " + request.m_path);
        count_if_present(m_keys, request, "Idempotency-Key");
        count_if_present(m_attempts, request, "X-Daisylead-Attempt");
        count_if_present(m_organisations, request, "X-Daisylead-Organisation");
        if (m_faults.m_reset_after_run > 0)
        {
            --m_faults.m_reset_after_run;
            item->reset();
            return;
        }
        json const body = {{"run", m_runs},
                           {"path", request.m_path},
                           {"body_size", request.m_body->size()}};
        after(m_context, m_faults.m_latency,
              [item, body] { item->send(200, body); });
    }

    static void count_if_present(name_counter& counter,
                                 http::server_request const& request,
                                 std::string_view header)
    {
        if (auto const value = http::find_header(request.m_headers, header))
        {
            counter.add(*value);
        }
    }

    void set_faults(json const& body)
    {
        service_faults& f = m_faults;
        f.m_reset_before = integer_of(body, "reset_before", f.m_reset_before);
        f.m_reset_after_run =
            integer_of(body, "reset_after_run", f.m_reset_after_run);
        f.m_latency =
            milliseconds(integer_of(body, "latency_ms", f.m_latency.count()));
    }

    json stats() const
    {
        return {{"received", m_received},
                {"runs", m_runs},
                {"runs_by_key", m_keys.counts()},
                {"paths", m_paths.counts()},
                {"queries", m_queries.counts()},
                {"headers", m_headers.counts()},
                {"attempts", m_attempts.counts()},
                {"organisations", m_organisations.counts()}};
    }

    asio::io_context& m_context;
    service_faults m_faults;
    std::int64_t m_received = 0;
    std::int64_t m_runs = 0;
    name_counter m_keys;
    name_counter m_paths;
    name_counter m_queries;
    name_counter m_headers;
    name_counter m_attempts;
    name_counter m_organisations;
    listener m_listener;
};

} // namespace

std::unique_ptr<standin> make_service(asio::io_context& context,
                                      options const& options)
{
    return std::make_unique<service>(context, options);
}

} // namespace daisylead::standin
