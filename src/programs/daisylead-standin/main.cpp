/** @file Stand-in programs for tests and the demo. */
#include "standin_base.hpp"

#include <daisylead/base/error_type.hpp>

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using daisylead::standin::milliseconds;
using daisylead::standin::options;

std::unique_ptr<daisylead::standin::standin> make(asio::io_context& context,
                                                  options const& settings)
{
    if (settings.m_kind == "platform")
    {
        return daisylead::standin::make_platform(context, settings);
    }
    if (settings.m_kind == "engine")
    {
        return daisylead::standin::make_engine(context, settings);
    }
    if (settings.m_kind == "service")
    {
        return daisylead::standin::make_service(context, settings);
    }
    throw daisylead::error("unknown kind '" + settings.m_kind +
                           "'; use platform, engine or service");
}

auto milliseconds_option(milliseconds& target, std::int64_t least)
{
    return po::value<std::int64_t>()->notifier(
        [&target, least](std::int64_t value)
        { target = milliseconds(std::max(value, least)); });
}

po::options_description describe(options& settings)
{
    po::options_description description("daisylead-standin options");
    auto add = description.add_options();
    add("help", "print this help");
    add("kind", po::value(&settings.m_kind)->required(),
        "platform, engine or service");
    add("listen", po::value(&settings.m_listen)->required(), "IP:port");
    add("platform", po::value(&settings.m_platform),
        "engine: IP:port of the weight store");
    add("model", po::value(&settings.m_models),
        "engine: id=version, loaded at start; may be repeated");
    add("empty", po::bool_switch(&settings.m_empty),
        "engine: refuse models that were not loaded");
    add("step-ms", milliseconds_option(settings.m_step, 1),
        "engine: time of one batch step");
    add("max-batch", po::value(&settings.m_max_batch),
        "engine: requests that run at once");
    add("prefill-rate", po::value(&settings.m_prefill_rate),
        "engine: prompt tokens per second; 0: answer at once");
    add("cache-blocks", po::value(&settings.m_cache_blocks),
        "engine: blocks in the prompt cache");
    add("fenced", po::bool_switch(&settings.m_fenced),
        "engine: refuse orders with an old fence");
    add("list-lag-ms", milliseconds_option(settings.m_list_lag, 0),
        "platform: delay of the instance list");
    add("weights-ms", milliseconds_option(settings.m_weights, 0),
        "platform: time of one weight load");
    add("weights-at-once", po::value(&settings.m_weights_at_once),
        "platform: weight loads that run at full speed");
    return description;
}

void check(options const& settings)
{
    if (settings.m_prefill_rate < 0 || settings.m_max_batch < 1 ||
        settings.m_weights_at_once < 1)
    {
        throw daisylead::error("an option is out of range");
    }
}

int serve(options const& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](asio::error_code const&, int)
                       { context.stop(); });
    auto const running = make(context, settings);
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        options settings;
        po::options_description const description = describe(settings);
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        check(settings);
        return serve(settings);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisylead-standin: " << failure.what() << '\n';
        return 1;
    }
}
