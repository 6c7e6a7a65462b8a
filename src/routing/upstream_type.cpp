/** @file Names of enumeration values of upstream selection. */
#include <daisylead/routing/upstream_type.hpp>

#include <array>

namespace daisylead::routing
{

namespace
{

constexpr std::array all_policies{policy::estimated_ttft, policy::round_robin,
                                  policy::least_load,
                                  policy::bounded_rendezvous};

} // namespace

std::string to_string(policy item)
{
    switch (item)
    {
    case policy::estimated_ttft:
        return "estimated_ttft";
    case policy::round_robin:
        return "round_robin";
    case policy::least_load:
        return "least_load";
    case policy::bounded_rendezvous:
        return "bounded_rendezvous";
    }
    return "unknown";
}

std::string to_string(ineligibility item)
{
    switch (item)
    {
    case ineligibility::none:
        return "none";
    case ineligibility::not_serving:
        return "not_serving";
    case ineligibility::excluded:
        return "excluded";
    case ineligibility::leaving:
        return "leaving";
    case ineligibility::loading:
        return "loading";
    case ineligibility::failing:
        return "failing";
    case ineligibility::at_in_flight_max:
        return "at_in_flight_max";
    }
    return "unknown";
}

std::optional<policy> parse_policy(std::string const& name)
{
    for (policy const item : all_policies)
    {
        if (to_string(item) == name)
        {
            return item;
        }
    }
    return std::nullopt;
}

} // namespace daisylead::routing
