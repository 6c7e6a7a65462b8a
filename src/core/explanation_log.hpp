/** @file What was decided for each request, for operators. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisylead::core
{

/** Keeps the steps of the latest requests. Steps hold neither keys nor
 *  prompts. */
class explanation_log
{
public:
    /** @param max_requests the oldest is dropped beyond this number */
    explicit explanation_log(std::size_t max_requests);

    /** Adds a step.
     *  @param step short fixed name, for example "upstream_chosen"
     *  @param detail fields of the step */
    void add(request_id const& request, time_point now, std::string step,
             nlohmann::json detail);

    /** @return all steps with their time since the first, ms; nothing if the
     *  request is not known. */
    std::optional<nlohmann::json> find(request_id const& request) const;

private:
    struct step
    {
        time_point m_at;
        std::string m_name;
        nlohmann::json m_detail;
    };

    std::size_t m_max_requests;
    std::unordered_map<request_id, std::vector<step>> m_steps;
    std::deque<request_id> m_order;
};

} // namespace daisylead::core
