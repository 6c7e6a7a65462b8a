/** @file Results of the operator command, as text or JSON. */
#include "report.hpp"

#include "exit_code_type.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace daisylead::ctl
{

namespace
{

using json_value = nlohmann::json;

json_value to_json(std::vector<finding> const& findings)
{
    json_value list = json_value::array();
    for (finding const& item : findings)
    {
        list.push_back({{"file", item.m_file},
                        {"line", item.m_line},
                        {"column", item.m_column},
                        {"message", item.m_message}});
    }
    return list;
}

struct outcome_form
{
    char const* m_name; ///< in JSON
    int m_exit_code;    ///< of the process
    std::string m_text; ///< one line
};

outcome_form form_of(apply_result const& result)
{
    std::string const version = std::to_string(result.m_version.value());
    switch (result.m_status)
    {
    case apply_status::accepted:
        return {"accepted", exit_done, "version " + version + " is in force"};
    case apply_status::committed:
        return {"committed", exit_committed,
                "version " + version +
                    " is committed, but not confirmed by every instance"};
    case apply_status::conflict:
        return {"conflict", exit_conflict,
                "nothing was changed: version " + version + " is in force"};
    case apply_status::invalid:
        return {"invalid", exit_findings,
                "nothing was changed: the document has problems"};
    case apply_status::unknown:
        return {"unknown", exit_failure,
                "cannot tell whether the change was stored, check with "
                "'show'; " +
                    result.m_message};
    case apply_status::failed:
        break;
    }
    return {"failed", exit_failure, result.m_message};
}

} // namespace

void print_findings(std::vector<finding> const& findings, bool json)
{
    if (json)
    {
        std::cout << json_value{{"findings", to_json(findings)}}.dump(
                         2, ' ', false, json_value::error_handler_t::replace)
                  << '\n';
        return;
    }
    for (finding const& item : findings)
    {
        std::cerr << to_string(item) << '\n';
    }
}

int print_outcome(apply_result const& result, bool json,
                  json_value const& extra)
{
    outcome_form const form = form_of(result);
    if (json)
    {
        json_value body = extra;
        body["status"] = form.m_name;
        body["version"] = result.m_version.value();
        body["message"] = form.m_text;
        body["findings"] = to_json(result.m_findings);
        std::cout << body.dump(2, ' ', false,
                               json_value::error_handler_t::replace)
                  << '\n';
        return form.m_exit_code;
    }
    print_findings(result.m_findings, false);
    (form.m_exit_code == exit_done ? std::cout : std::cerr)
        << form.m_text << '\n';
    return form.m_exit_code;
}

} // namespace daisylead::ctl
