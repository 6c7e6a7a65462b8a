/** @file Strong types for identifiers. */
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace daisylead
{

/** An identifier that cannot be mixed up with identifiers of another kind. */
template <class Tag>
class string_id
{
public:
    string_id() = default;

    explicit string_id(std::string value) : m_value(std::move(value)) {}

    std::string const& value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(string_id const&) const = default;

private:
    std::string m_value;
};

template <class Tag>
std::ostream& operator<<(std::ostream& stream, string_id<Tag> const& id)
{
    return stream << id.value();
}

using organisation_id = string_id<struct organisation_tag>;
using instance_id = string_id<struct instance_tag>;
using upstream_id = string_id<struct upstream_tag>;
using model_id = string_id<struct model_tag>;
using adapter_id = string_id<struct adapter_tag>;
using zone_id = string_id<struct zone_tag>;
using region_id = string_id<struct region_tag>;
using request_id = string_id<struct request_tag>;
using attempt_id = string_id<struct attempt_tag>;
using route_id = string_id<struct route_tag>;
using service_id = string_id<struct service_tag>; ///< group of equal upstreams
using software_version = string_id<struct software_version_tag>;
using weights_version = string_id<struct weights_version_tag>;

} // namespace daisylead

template <class Tag>
struct std::hash<daisylead::string_id<Tag>>
{
    std::size_t operator()(daisylead::string_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
