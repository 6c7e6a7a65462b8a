/** @file A tenant becomes isolated; other tenants go on using the KV cache that
 *  its requests made before. */
#include "../tools/shop.hpp"

#include <array>
#include <sstream>

namespace
{

using namespace review;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr int model_servers = 3;
constexpr int model_slots = 48;
constexpr int subjects = 8;
constexpr int events = 20;

/** configApplyMs of the sheet, and a second more. */
constexpr auto apply_time = 3s;

/** What a model server keeps: part by salt and all parts before it, and the
 *  tenant whose request made it. */
using kept_parts = std::map<std::string, std::string>;

/** A use of a part that a request of another tenant made. */
struct shared_use
{
    std::string m_request;
    std::string m_user;
    std::string m_maker;
};

/** Model servers, as the pages describe their cache. */
class model_service
{
public:
    explicit model_service(record& log) : m_log(log)
    {
        for (int i = 0; i < model_servers; ++i)
        {
            m_servers.push_back(std::make_unique<server>(
                [this, i](connection& caller) { serve(caller, i); }));
        }
    }

    ~model_service()
    {
        for (auto const& item : m_servers)
        {
            item->stop();
        }
    }

    model_service(model_service const&) = delete;
    model_service& operator=(model_service const&) = delete;

    void enter(store& rows) const
    {
        std::int64_t const born = unix_ms();
        for (std::size_t i = 0; i < m_servers.size(); ++i)
        {
            json row = make_server_row("scribe", m_servers[i]->address(),
                                       model_slots, born);
            row["models"] = json::array({{{"name", "m0"}, {"version", 1}}});
            rows.put("servers", "model-" + std::to_string(i), row);
        }
    }

    std::vector<shared_use> uses()
    {
        std::lock_guard const lock(m_mutex);
        return m_uses;
    }

private:
    void serve(connection& caller, int number)
    {
        message request;
        while (caller.read_request(request) == end_kind::complete)
        {
            read_prompt(request, number);
            caller.write(stream_head(request));
            for (int i = 1; i <= events; ++i)
            {
                std::this_thread::sleep_for(5ms);
                caller.write(make_chunk(make_event(i)));
            }
            if (!caller.write("0\r\n\r\n"))
            {
                return;
            }
        }
    }

    void read_prompt(message const& request, int number)
    {
        std::string const tenant = request.field("X-Tenant");
        std::string key = request.field("X-Cache-Salt");
        std::stringstream parts(request.field("X-Prompt-Prefix"));
        std::string line = "model-" + std::to_string(number) + ": " +
                           request.field("X-Attempt-Id") + " of " + tenant +
                           ", salt " + key;
        std::lock_guard const lock(m_mutex);
        for (std::string part; std::getline(parts, part, ',');)
        {
            key += "/" + part;
            auto const [kept, is_new] =
                m_kept[static_cast<std::size_t>(number)].try_emplace(key,
                                                                     tenant);
            if (!is_new)
            {
                line += ", uses " + part + " made by " + kept->second;
            }
            if (kept->second != tenant)
            {
                m_uses.push_back(
                    {request.field("X-Attempt-Id"), tenant, kept->second});
            }
        }
        m_log.add(line);
    }

    record& m_log;
    std::mutex m_mutex;
    std::array<kept_parts, model_servers> m_kept; ///< guarded by m_mutex
    std::vector<shared_use> m_uses;               ///< guarded by m_mutex
    std::vector<std::unique_ptr<server>> m_servers;
};

json make_tenant(std::string const& name, bool isolated)
{
    return {
        {"name", name},          {"apiKeys", json::array({"key-of-" + name})},
        {"priority", 1},         {"unit", "tokens"},
        {"uncachedTokens", 200}, {"isolated", isolated},
        {"ratePerS", 257082},    {"burst", 257082}};
}

json make_configuration(int version, bool first_is_isolated)
{
    json route =
        make_route("caption", "/caption/", "streaming", "scribe", 5000, 600, 2);
    route["public"] = false;
    route["resumable"] = true;
    json const engine = {{"kvCapacity", 106776},
                         {"models", json::array({{{"name", "m0"}}})}};
    return {
        {"version", version},
        {"routes", json::array({route})},
        {"services", json::array({{{"name", "scribe"}, {"engine", engine}}})},
        {"tenants", json::array({make_tenant("museum", first_is_isolated),
                                 make_tenant("lodge", false)})},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}};
}

std::string caption_request(std::string const& tenant, std::string const& id,
                            int subject)
{
    std::string text = "POST /caption/1 HTTP/1.1\r\nHost: shop.example\r\n";
    text += "X-Attempt-Id: " + id + "\r\n";
    text += "X-Deadline-Ms: 5000\r\n";
    text += "X-Credential: key-of-" + tenant + "\r\n";
    text += "X-Model: m0\r\nX-Token-Count: 9190,13\r\n";
    text += "X-Prompt-Prefix: 5c1e07a:2520,91bd3f0" + std::to_string(subject);
    text += ":3780," + id + ":2890\r\n";
    text += "Content-Length: 4\r\n\r\ntext";
    return text;
}

/** Asks for a caption on each subject; the catalogue entries are shared.
 *  @return number of whole answers */
int ask(instance const& entry, std::string const& tenant,
        std::string const& round)
{
    int answered = 0;
    for (int i = 0; i < subjects; ++i)
    {
        auto const caller = connection::open(entry.caller_port());
        std::string id = tenant;
        id += "-" + round + "-" + std::to_string(i);
        message answer;
        bool const whole =
            caller && caller->write(caption_request(tenant, id, i)) &&
            caller->read_answer(answer, 5s) == end_kind::complete &&
            answer.status() == 200;
        answered += whole ? 1 : 0;
    }
    return answered;
}

int run(record& log)
{
    temporary_folder files;
    store rows(log);
    model_service servers(log);
    servers.enter(rows);
    rows.put("op", "version/m0", {{"model", "m0"}, {"version", 1}});
    rows.put("op", "config", make_configuration(7, false));
    instance entry("external-ub-north-1", "ub-north", rows.port(), sheet(),
                   files.path());
    entry.start({});
    if (!wait_until([&] { return entry.is_ready(); }, 15s))
    {
        return 2;
    }
    std::this_thread::sleep_for(1s);
    int answered = ask(entry, "museum", "before");
    bool const is_isolated = has_trouble();
    rows.put("op", "config", make_configuration(12, is_isolated));
    log.add(std::string("operator: configuration 12, museum is ") +
            (is_isolated ? "isolated" : "not isolated"));
    std::this_thread::sleep_for(apply_time);
    std::size_t const uses_before = servers.uses().size();
    log.add("requests that are sent after configApplyMs");
    answered += ask(entry, "lodge", "after");
    answered += ask(entry, "museum", "after");
    std::this_thread::sleep_for(200ms);
    std::vector<shared_use> const uses = servers.uses();
    entry.kill();
    rows.stop();
    std::size_t broken = 0;
    for (std::size_t i = uses_before; i < uses.size(); ++i)
    {
        bool const one_is_isolated =
            is_isolated &&
            (uses[i].m_user == "museum" || uses[i].m_maker == "museum");
        broken += one_is_isolated ? 1 : 0;
    }
    log.add(std::to_string(answered) + " of " + std::to_string(3 * subjects) +
            " requests answered; " + std::to_string(uses.size() - uses_before) +
            " uses of parts of another tenant, " + std::to_string(broken) +
            " of them with an isolated one");
    log.add(broken > 0 ? "WALL is broken" : "WALL holds");
    return answered < 3 * subjects ? 2 : broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &run);
}
