/** @file The commands of the operator command. */
#include "commands.hpp"

#include "exit_code_type.hpp"
#include "report.hpp"

#include <daisylead/config/diff_func.hpp>
#include <daisylead/config/parse_func.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace daisylead::ctl
{

namespace
{

using nlohmann::json;

/** @throws error if there is nothing to read: the empty document is valid, and
 *  an empty file by mistake must not remove the whole configuration */
std::string read_file(std::string const& name)
{
    std::ifstream stream(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream.is_open() || stream.bad())
    {
        throw error("cannot read " + name);
    }
    if (text.empty())
    {
        throw error(name + " is empty");
    }
    return text;
}

/** @return the first line of the file; a token in an argument would be visible
 *  to other users of the machine. */
std::string read_token(std::string const& name)
{
    if (name.empty())
    {
        return {};
    }
    std::string text = read_file(name);
    text.resize(std::min(text.size(), text.find_first_of("\r\n")));
    if (text.empty() || text.find_first_of(" \t") != std::string::npos)
    {
        throw error(name + " does not begin with a line with a token");
    }
    return text;
}

int check(command_line const& line)
{
    config::configuration const item = config::parse_configuration(
        read_file(line.m_argument), line.m_argument);
    if (line.m_json)
    {
        std::cout
            << json{{"hash", item.m_hash}, {"findings", json::array()}}.dump(2)
            << '\n';
        return exit_done;
    }
    std::cout << line.m_argument << ": " << item.m_organisations.size()
              << " organisations, " << item.m_keys.size() << " keys, "
              << item.m_models.size() << " models, " << item.m_adapters.size()
              << " adapters, " << item.m_upstreams.size() << " upstreams, "
              << item.m_routes.size() << " routes\n";
    return exit_done;
}

int show(operator_client& client, command_line const& line)
{
    stored_configuration const stored = client.read_configuration();
    if (line.m_json)
    {
        std::cout << json{{"version", stored.m_version.value()},
                          {"hash", stored.m_hash},
                          {"text", stored.m_text}}
                         .dump(2)
                  << '\n';
        return exit_done;
    }
    std::cout << stored.m_text;
    std::cerr << "version " << stored.m_version << " hash " << stored.m_hash
              << '\n';
    return exit_done;
}

int show_diff(operator_client& client, command_line const& line)
{
    config::configuration const next = config::parse_configuration(
        read_file(line.m_argument), line.m_argument);
    stored_configuration const stored = client.read_configuration();
    config::configuration const current =
        config::parse_configuration(stored.m_text, "configuration in force");
    auto const changes = config::diff(current, next);
    if (line.m_json)
    {
        std::cout << json{{"version", stored.m_version.value()},
                          {"changes", config::to_json(changes)}}
                         .dump(2)
                  << '\n';
        return exit_done;
    }
    std::cout << config::to_text(changes);
    std::cerr << changes.size() << " differences from version "
              << stored.m_version << '\n';
    return exit_done;
}

int apply(operator_client& client, command_line const& line)
{
    std::string const text = read_file(line.m_argument);
    config::parse_configuration(text, line.m_argument);
    return print_outcome(
        client.apply(text, config_version(line.m_expected_version)),
        line.m_json, json::object());
}

int drain(operator_client& client, command_line const& line)
{
    client.drain();
    if (line.m_json)
    {
        std::cout << json{{"status", "draining"}}.dump(2) << '\n';
    }
    return exit_done;
}

/** Characters with a meaning in a URL would ask for another resource. */
std::string request_path(std::string const& id)
{
    if (id.empty() ||
        id.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") !=
            std::string::npos)
    {
        throw usage_error("'" + id + "' is not a request id");
    }
    return "/requests/" + id;
}

int print_body(std::string const& body)
{
    json const parsed = json::parse(body, nullptr, false);
    std::cout << (parsed.is_discarded() ? body : parsed.dump(2)) << '\n';
    return exit_done;
}

} // namespace

int run(command_line const& line)
{
    if (line.m_command == "check")
    {
        return check(line);
    }
    operator_client client(line.m_operators, read_token(line.m_token_file),
                           line.m_timeout);
    if (line.m_command == "show")
    {
        return show(client, line);
    }
    if (line.m_command == "diff")
    {
        return show_diff(client, line);
    }
    if (line.m_command == "apply")
    {
        return apply(client, line);
    }
    if (line.m_command == "key add")
    {
        return add_key(client, line);
    }
    if (line.m_command == "key revoke")
    {
        return revoke_key(client, line);
    }
    if (line.m_command == "drain")
    {
        return drain(client, line);
    }
    if (line.m_command == "explain")
    {
        return print_body(client.get(request_path(line.m_argument), true));
    }
    return print_body(client.get("/state"));
}

} // namespace daisylead::ctl
