/** @file Stand-ins for the systems around daisylead. */
#pragma once

#include "listener_base.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisylead::standin
{

using milliseconds = std::chrono::milliseconds;

/** Options of all kinds of stand-in. */
struct options
{
    std::string m_kind;   ///< "engine", "service" or "platform"
    std::string m_listen; ///< "IP:port"

    std::string m_platform;            ///< "IP:port" of the weight store
    std::vector<std::string> m_models; ///< "id=version", loaded at start
    bool m_empty = false;              ///< refuse models that were not loaded
    milliseconds m_step{5};            ///< time of one batch step
    std::size_t m_max_batch = 32;      ///< requests that run at once
    std::int64_t m_prefill_rate = 0;   ///< tokens per second; 0: answer at once
    std::size_t m_cache_blocks = 4096; ///< memory of the prompt cache
    bool m_fenced = false;             ///< refuse orders with an old fence

    milliseconds m_list_lag{0};         ///< age of the instance list
    milliseconds m_weights{500};        ///< time of one weight load
    std::int64_t m_weights_at_once = 3; ///< loads that run at full speed
};

/** Answers requests while the I/O context runs. */
class standin
{
public:
    standin() = default;
    standin(standin const&) = delete;
    standin& operator=(standin const&) = delete;
    virtual ~standin() = default;
};

std::unique_ptr<standin> make_platform(asio::io_context& context,
                                       options const& options);
std::unique_ptr<standin> make_engine(asio::io_context& context,
                                     options const& options);
std::unique_ptr<standin> make_service(asio::io_context& context,
                                      options const& options);

/** Parses JSON of bounded depth.
 *  @throws nlohmann::json::exception or error if @p text is malformed */
nlohmann::json parse_json(std::string const& text);

/** Parses a JSON object.
 *  @throws nlohmann::json::exception if @p text is malformed
 *  @throws error if @p text is not a JSON object or is nested too deeply */
nlohmann::json parse_object(std::string const& text);

/** @return an integer member, or @p fallback if it is absent or null.
 *  @throws error if the member is not an integer */
std::int64_t integer_of(nlohmann::json const& object, char const* name,
                        std::int64_t fallback);

/** Runs a hook once after a delay; at once if the delay is zero. */
void after(asio::io_context& context, milliseconds delay,
           std::function<void()> hook);

/** Body of an error response. */
nlohmann::json error_body(std::string const& code, std::string const& message);

/** Counts per name, with a bounded number of names. */
class name_counter
{
public:
    void add(std::string const& name);

    std::map<std::string, std::int64_t> const& counts() const
    {
        return m_counts;
    }

private:
    std::map<std::string, std::int64_t> m_counts;
};

/** Counts the names of a request's header fields, in lower case. */
void count_headers(name_counter& counter, http::header_list const& headers);

} // namespace daisylead::standin
