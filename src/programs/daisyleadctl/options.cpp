/** @file Command line of the operator command. */
#include "options.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace daisylead::ctl
{

namespace
{

namespace options = boost::program_options;

constexpr std::int64_t default_timeout_ms = 15000;
constexpr std::int64_t max_timeout_ms = 600000;

/** What a command takes besides the options that all commands take. */
struct command_rule
{
    std::string_view m_name;                   ///< one or two words
    bool m_has_argument;                       ///< a file or a request
    bool m_needs_instance;                     ///< --operator is required
    std::array<std::string_view, 2> m_options; ///< permitted; empty: none
};

constexpr std::array<command_rule, 9> command_rules = {
    {{"check", true, false, {}},
     {"show", false, true, {}},
     {"diff", true, true, {}},
     {"apply", true, true, {"expected-version"}},
     {"key add", false, true, {"organisation", "label"}},
     {"key revoke", false, true, {"label", "digest-prefix"}},
     {"dump", false, true, {}},
     {"drain", false, true, {}},
     {"explain", true, true, {}}}};

/** Options that only some commands take. */
constexpr std::array<std::string_view, 4> special_options = {
    "expected-version", "organisation", "label", "digest-prefix"};

options::options_description visible_options()
{
    options::options_description description("Options");
    description.add_options()(
        "operator", options::value<std::vector<std::string>>(),
        "IP:port of an instance's operator port; may be repeated, tried in "
        "order")("token-file", options::value<std::string>(),
                 "file with the operator token")(
        "json", "results and problems as JSON on the standard output")(
        "timeout-ms",
        options::value<std::int64_t>()->default_value(default_timeout_ms),
        "time for one request to one instance, ms")(
        "expected-version", options::value<std::int64_t>(),
        "version that the new one replaces")(
        "organisation", options::value<std::string>(), "owner of a new key")(
        "label", options::value<std::string>(),
        "label of a key")("digest-prefix", options::value<std::string>(),
                          "first hex digits of a key's digest")(
        "help", "print this help")("version", "print the version");
    return description;
}

options::variables_map parse(int argc, char const* const* argv)
{
    options::options_description all = visible_options();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try
    {
        options::store(options::command_line_parser(argc, argv)
                           .options(all)
                           .positional(positional)
                           .run(),
                       values);
    }
    catch (options::error const& failure)
    {
        throw usage_error(failure.what());
    }
    return values;
}

bool is_given(options::variables_map const& values, std::string_view name)
{
    return values.count(std::string(name)) != 0;
}

std::string text_of(options::variables_map const& values, char const* name)
{
    return is_given(values, name) ? values[name].as<std::string>()
                                  : std::string();
}

/** @return the rule of the command that @p words begin with; removes the words
 *  of its name. */
command_rule const& take_command(std::vector<std::string>& words)
{
    if (words.empty())
    {
        throw usage_error("a command is required");
    }
    std::string name = words.front();
    words.erase(words.begin());
    if (name == "key" && !words.empty())
    {
        name += " " + words.front();
        words.erase(words.begin());
    }
    auto const found = std::find_if(command_rules.begin(), command_rules.end(),
                                    [&](command_rule const& rule)
                                    { return rule.m_name == name; });
    if (found == command_rules.end())
    {
        throw usage_error("unknown command '" + name + "'");
    }
    return *found;
}

void check_options(command_rule const& rule,
                   options::variables_map const& values)
{
    std::string const name(rule.m_name);
    for (std::string_view const option : special_options)
    {
        bool const permitted =
            std::find(rule.m_options.begin(), rule.m_options.end(), option) !=
            rule.m_options.end();
        if (is_given(values, option) && !permitted)
        {
            throw usage_error("'" + name + "' does not take --" +
                              std::string(option));
        }
    }
    if (rule.m_needs_instance && !is_given(values, "operator"))
    {
        throw usage_error("'" + name + "' requires --operator");
    }
}

void check_required(command_line const& line,
                    options::variables_map const& values)
{
    if (line.m_command == "apply" && !is_given(values, "expected-version"))
    {
        throw usage_error("'apply' requires --expected-version");
    }
    if (line.m_expected_version < 0)
    {
        throw usage_error("--expected-version must not be negative");
    }
    if (line.m_command == "key add" &&
        (line.m_organisation.empty() || line.m_label.empty()))
    {
        throw usage_error("'key add' requires --organisation and --label");
    }
    if (line.m_command == "key revoke" &&
        line.m_label.empty() == line.m_digest_prefix.empty())
    {
        throw usage_error(
            "'key revoke' requires one of --label and --digest-prefix");
    }
    // A drain sent to the next instance after a failure would shut down
    // another one than the operator named.
    if (line.m_command == "drain" && line.m_operators.size() != 1)
    {
        throw usage_error("'drain' requires exactly one --operator");
    }
    if (line.m_timeout.count() < 1 || line.m_timeout.count() > max_timeout_ms)
    {
        throw usage_error("--timeout-ms must be from 1 to " +
                          std::to_string(max_timeout_ms));
    }
}

command_line read_values(options::variables_map const& values)
{
    command_line line;
    if (is_given(values, "operator"))
    {
        line.m_operators = values["operator"].as<std::vector<std::string>>();
    }
    line.m_token_file = text_of(values, "token-file");
    line.m_json = is_given(values, "json");
    line.m_timeout =
        std::chrono::milliseconds(values["timeout-ms"].as<std::int64_t>());
    if (is_given(values, "expected-version"))
    {
        line.m_expected_version = values["expected-version"].as<std::int64_t>();
    }
    line.m_organisation = text_of(values, "organisation");
    line.m_label = text_of(values, "label");
    line.m_digest_prefix = text_of(values, "digest-prefix");
    return line;
}

} // namespace

command_line parse_command_line(int argc, char const* const* argv)
{
    options::variables_map const values = parse(argc, argv);
    command_line line = read_values(values);
    for (char const* const name : {"help", "version"})
    {
        if (is_given(values, name))
        {
            line.m_command = name;
            return line;
        }
    }
    std::vector<std::string> words;
    if (is_given(values, "words"))
    {
        words = values["words"].as<std::vector<std::string>>();
    }
    command_rule const& rule = take_command(words);
    line.m_command = rule.m_name;
    if (words.size() != (rule.m_has_argument ? 1U : 0U))
    {
        throw usage_error(
            "'" + line.m_command + "' takes " +
            (rule.m_has_argument ? "one argument" : "no argument"));
    }
    if (rule.m_has_argument)
    {
        line.m_argument = words.front();
    }
    check_options(rule, values);
    check_required(line, values);
    return line;
}

std::string help_text()
{
    std::ostringstream text;
    text << "Usage: daisyleadctl [options] COMMAND\n\n"
            "  check FILE                          check a configuration\n"
            "  show                                print the one in force\n"
            "  diff FILE                           compare it with FILE\n"
            "  apply FILE --expected-version N     put FILE in force\n"
            "  key add --organisation O --label L  create a key\n"
            "  key revoke --label L | --digest-prefix P\n"
            "                                      remove a key\n"
            "  dump                                state of an instance\n"
            "  drain                               shut an instance down\n"
            "  explain REQUEST_ID                  history of a request\n\n"
         << visible_options()
         << "\nExit codes: 0 done, 1 failure, 2 usage, 3 problems in the "
            "document,\n4 version conflict, 5 committed but not confirmed "
            "everywhere,\n6 no instance reachable\n";
    return text.str();
}

} // namespace daisylead::ctl
