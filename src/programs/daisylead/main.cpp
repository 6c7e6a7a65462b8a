/** @file The daemon: one instance. */
#include <daisylead/config/parse_func.hpp>
#include <daisylead/daemon/instance_base.hpp>
#include <daisylead/peer/make_transport_func.hpp>
#include <daisylead/telemetry/log_func.hpp>

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

namespace options = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

std::string read_file(std::string const& name)
{
    std::ifstream stream(name);
    if (!stream)
    {
        throw daisylead::error("cannot read " + name);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

options::options_description make_options()
{
    options::options_description description("daisylead options");
    description.add_options()("help", "print this help")(
        "version", "print the version")("settings",
                                        options::value<std::string>(),
                                        "TOML file with the settings");
    return description;
}

/** Blocks the stop signals in all threads, so that one thread can wait for
 *  them. */
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Otherwise it would end the process; the settings are read at start only.
    std::signal(SIGHUP, SIG_IGN);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** @return whether a stop signal came within @p timeout. */
bool wait_for_signal(sigset_t const& signals, timespec const& timeout)
{
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

int serve(std::string const& settings_file)
{
    sigset_t const signals = block_stop_signals();
    daisylead::config::settings const settings =
        daisylead::config::parse_settings(read_file(settings_file),
                                          settings_file);
    daisylead::telemetry::start_logging(settings.m_log_level,
                                        settings.m_instance.value());
    daisylead::daemon::instance instance(settings,
                                         &daisylead::peer::make_transport);
    constexpr timespec poll_interval{0, 50'000'000};
    bool draining = false;
    while (!instance.is_drained())
    {
        if (!wait_for_signal(signals, poll_interval))
        {
            continue;
        }
        if (draining)
        {
            // A second signal stops without waiting for open requests.
            return exit_failure;
        }
        draining = true;
        instance.drain();
    }
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        options::options_description const description = make_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description),
                       values);
        if (values.count("help") != 0)
        {
            std::cout << description;
            return exit_ok;
        }
        if (values.count("version") != 0)
        {
            std::cout << "daisylead " << DAISYLEAD_VERSION << '\n';
            return exit_ok;
        }
        if (values.count("settings") == 0)
        {
            std::cerr << "daisylead: --settings is required\n";
            return exit_usage;
        }
        return serve(values["settings"].as<std::string>());
    }
    catch (options::error const& failure)
    {
        std::cerr << "daisylead: " << failure.what() << '\n';
        return exit_usage;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "daisylead: " << failure.what() << '\n';
        return exit_failure;
    }
}
