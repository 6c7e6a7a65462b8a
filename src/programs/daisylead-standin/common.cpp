/** @file Functions that all stand-ins share. */
#include "standin_base.hpp"

#include <daisylead/base/error_type.hpp>

#include <algorithm>
#include <cctype>

namespace daisylead::standin
{

namespace
{

/** Copying and writing of JSON values recurses, so depth is bounded. */
constexpr int max_depth = 64;
constexpr std::size_t max_names = 100000;

} // namespace

nlohmann::json parse_json(std::string const& text)
{
    using nlohmann::json;
    return json::parse(text,
                       [](int depth, json::parse_event_t, json&)
                       {
                           if (depth > max_depth)
                           {
                               throw error("nested too deeply");
                           }
                           return true;
                       });
}

nlohmann::json parse_object(std::string const& text)
{
    nlohmann::json value = parse_json(text);
    if (!value.is_object())
    {
        throw error("the body must be a JSON object");
    }
    return value;
}

std::int64_t integer_of(nlohmann::json const& object, char const* name,
                        std::int64_t fallback)
{
    auto const found = object.find(name);
    if (found == object.end() || found->is_null())
    {
        return fallback;
    }
    if (!found->is_number_integer())
    {
        throw error(std::string("'") + name + "' must be an integer");
    }
    return found->get<std::int64_t>();
}

void after(asio::io_context& context, milliseconds delay,
           std::function<void()> hook)
{
    if (delay <= milliseconds::zero())
    {
        hook();
        return;
    }
    auto const timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait(
        [timer, hook = std::move(hook)](asio::error_code const& failure)
        {
            if (!failure)
            {
                hook();
            }
        });
}

nlohmann::json error_body(std::string const& code, std::string const& message)
{
    return {{"error", {{"code", code}, {"message", message}}}};
}

void name_counter::add(std::string const& name)
{
    if (m_counts.size() < max_names || m_counts.contains(name))
    {
        ++m_counts[name];
    }
}

void count_headers(name_counter& counter, http::header_list const& headers)
{
    for (http::header const& field : headers)
    {
        std::string name = field.m_name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        counter.add(name);
    }
}

} // namespace daisylead::standin
