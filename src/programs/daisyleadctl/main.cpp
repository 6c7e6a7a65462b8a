/** @file The operator command. */
#include "commands.hpp"
#include "exit_code_type.hpp"
#include "report.hpp"

#include <csignal>
#include <iostream>

namespace
{

using namespace daisylead::ctl;

int fail(char const* message, int exit_code)
{
    std::cerr << "daisyleadctl: " << message << '\n';
    return exit_code;
}

int run_reporting(command_line const& line)
{
    try
    {
        return run(line);
    }
    catch (daisylead::findings_error const& failure)
    {
        print_findings(failure.findings(), line.m_json);
        return exit_findings;
    }
}

int run_command(int argc, char const* const* argv)
{
    command_line const line = parse_command_line(argc, argv);
    if (line.m_command == "help")
    {
        std::cout << help_text();
        return exit_done;
    }
    if (line.m_command == "version")
    {
        std::cout << "daisyleadctl " << DAISYLEAD_VERSION << '\n';
        return exit_done;
    }
    return run_reporting(line);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return run_command(argc, argv);
    }
    catch (usage_error const& failure)
    {
        return fail(failure.what(), exit_usage);
    }
    catch (unreachable_error const& failure)
    {
        return fail(failure.what(), exit_unreachable);
    }
    catch (std::exception const& failure)
    {
        return fail(failure.what(), exit_failure);
    }
}
