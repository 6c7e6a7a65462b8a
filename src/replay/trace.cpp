/** @file Reading and writing of traces. */
#include <daisylead/base/error_type.hpp>
#include <daisylead/replay/trace_type.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace daisylead::replay
{

namespace
{

using nlohmann::json;

json to_json(site const& item)
{
    json result{{"type", "site"},
                {"name", item.m_name},
                {"instances", item.m_instances}};
    for (zone_id const& zone : item.m_zones)
    {
        result["zones"].push_back(zone.value());
    }
    for (trace_engine const& engine : item.m_engines)
    {
        result["engines"].push_back(
            {{"id", engine.m_id.value()}, {"zone", engine.m_zone.value()}});
    }
    for (trace_organisation const& entry : item.m_organisations)
    {
        result["organisations"].push_back({{"id", entry.m_id.value()},
                                           {"rate", entry.m_rate.value()},
                                           {"burst", entry.m_burst.value()},
                                           {"weight", entry.m_weight}});
    }
    return result;
}

json to_json(arrival const& item)
{
    json path = json::array();
    for (path_segment const& segment : item.m_path)
    {
        path.push_back({segment.m_name, segment.m_tokens});
    }
    return {{"type", "arrival"},
            {"at_us", item.m_at.count()},
            {"instance", item.m_instance},
            {"organisation", item.m_organisation.value()},
            {"path", std::move(path)},
            {"prompt_tokens", item.m_prompt_tokens},
            {"generated_tokens", item.m_generated_tokens},
            {"priority", item.m_priority},
            {"deadline_us", item.m_deadline.count()}};
}

json to_json(upstream_leaves const& item)
{
    return {{"type", "leaves"},
            {"at_us", item.m_at.count()},
            {"upstream", item.m_upstream.value()}};
}

json to_json(fault const& item)
{
    char const* const kind = item.m_kind == fault_kind::engine_crash
                                 ? "engine_crash"
                                 : "table_outage";
    return {{"type", kind},
            {"at_us", item.m_at.count()},
            {"upstream", item.m_upstream.value()},
            {"length_us", item.m_length.count()}};
}

site read_site(json const& line)
{
    site result;
    result.m_name = line.at("name");
    result.m_instances = line.at("instances");
    for (json const& zone : line.at("zones"))
    {
        result.m_zones.emplace_back(zone.get<std::string>());
    }
    for (json const& engine : line.at("engines"))
    {
        result.m_engines.push_back(
            {upstream_id(engine.at("id")), zone_id(engine.at("zone"))});
    }
    for (json const& entry : line.at("organisations"))
    {
        result.m_organisations.push_back(
            {organisation_id(entry.at("id")),
             token_rate(entry.at("rate").get<std::int64_t>()),
             token_count(entry.at("burst").get<std::int64_t>()),
             entry.at("weight")});
    }
    if (result.m_instances < 1 || result.m_engines.empty())
    {
        throw error("a site needs at least one instance and one engine");
    }
    return result;
}

trace_event read_event(json const& line, site const& place)
{
    std::string const type = line.at("type");
    microseconds const at(line.at("at_us").get<std::int64_t>());
    if (type == "leaves")
    {
        return upstream_leaves{at, upstream_id(line.at("upstream"))};
    }
    if (type == "engine_crash" || type == "table_outage")
    {
        return fault{at,
                     type == "engine_crash" ? fault_kind::engine_crash
                                            : fault_kind::table_outage,
                     upstream_id(line.at("upstream")),
                     microseconds(line.at("length_us").get<std::int64_t>())};
    }
    if (type != "arrival")
    {
        throw error("unknown type " + type);
    }
    arrival item;
    item.m_at = at;
    item.m_instance = line.at("instance");
    item.m_organisation = organisation_id(line.at("organisation"));
    for (json const& segment : line.at("path"))
    {
        item.m_path.push_back({segment.at(0), segment.at(1)});
    }
    item.m_prompt_tokens = line.at("prompt_tokens");
    item.m_generated_tokens = line.at("generated_tokens");
    item.m_priority = line.at("priority");
    item.m_deadline = microseconds(line.at("deadline_us").get<std::int64_t>());
    if (item.m_instance < 0 || item.m_instance >= place.m_instances)
    {
        throw error("no such instance");
    }
    return item;
}

} // namespace

void write_trace(std::ostream& stream, trace const& item)
{
    stream << to_json(item.m_site).dump() << '\n';
    for (trace_event const& event : item.m_events)
    {
        std::visit([&](auto const& specific)
                   { stream << to_json(specific).dump() << '\n'; },
                   event);
    }
}

trace read_trace(std::istream& stream, std::string const& file_name)
{
    trace result;
    std::string text;
    for (int line = 1; std::getline(stream, text); ++line)
    {
        try
        {
            json const parsed = json::parse(text);
            if (line == 1)
            {
                result.m_site = read_site(parsed);
                continue;
            }
            result.m_events.push_back(read_event(parsed, result.m_site));
        }
        catch (std::exception const& failure)
        {
            throw findings_error({{file_name, line, 0, failure.what()}});
        }
    }
    return result;
}

microseconds time_of(trace_event const& event)
{
    return std::visit([](auto const& specific) { return specific.m_at; },
                      event);
}

prefix::block_chain chain_of(arrival const& item)
{
    prefix::block_chain chain;
    prefix::block_hash previous = XXH3_64bits(
        item.m_organisation.value().data(), item.m_organisation.value().size());
    for (path_segment const& segment : item.m_path)
    {
        for (std::int64_t begin = 0; begin + block_tokens <= segment.m_tokens;
             begin += block_tokens)
        {
            previous = XXH3_64bits_withSeed(
                segment.m_name.data(), segment.m_name.size(),
                previous + static_cast<std::uint64_t>(begin));
            chain.m_blocks.push_back(previous);
        }
    }
    return chain;
}

} // namespace daisylead::replay
