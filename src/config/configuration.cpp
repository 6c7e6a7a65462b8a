/** @file Reading of inventory and rules. */
#include "references.hpp"
#include "route_path.hpp"
#include "rules.hpp"
#include "table_reader.hpp"

#include <daisylead/config/parse_func.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace daisylead::config
{

namespace
{

constexpr value_range rate_range{1, 1000000000000};  ///< tokens per second
constexpr value_range burst_range{1, 1000000000000}; ///< tokens
constexpr value_range weight_range{1, 1000};
constexpr value_range cost_range{0, 1000000000}; ///< tokens

constexpr std::size_t max_label_size = 128; ///< characters

template <class Id>
std::vector<Id> to_ids(std::vector<placed_text> const& texts)
{
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (placed_text const& item : texts)
    {
        ids.push_back(Id(item.m_text));
    }
    return ids;
}

class configuration_reader
{
public:
    configuration_reader(toml::table const& document,
                         std::string const& file_name)
        : m_document(document), m_findings(file_name)
    {
    }

    configuration read()
    {
        read_each("organisation",
                  [&](table_reader& reader) { read_organisation(reader); });
        read_each("key", [&](table_reader& reader) { read_key(reader); });
        read_each("model", [&](table_reader& reader) { read_model(reader); });
        read_each("adapter",
                  [&](table_reader& reader) { read_adapter(reader); });
        read_each("upstream",
                  [&](table_reader& reader) { read_upstream(reader); });
        read_each("route", [&](table_reader& reader) { read_route(reader); });
        read_rules_section();
        read_each("priority",
                  [&](table_reader& reader) { read_priority_rule(reader); });
        report_unknown_sections();
        m_references.resolve(m_findings);
        check_listed_adapters();
        m_findings.throw_if_any();
        return std::move(m_result);
    }

private:
    template <class Read>
    void read_each(std::string const& name, Read read)
    {
        std::string const title = "[[" + name + "]]";
        toml::node const* node = m_document.get(name);
        if (node == nullptr)
        {
            return;
        }
        toml::array const* array = node->as_array();
        if (array == nullptr)
        {
            m_findings.add(place_of(node->source()),
                           quoted(name) + " must be written as " + title);
            return;
        }
        for (toml::node const& item : *array)
        {
            if (toml::table const* table = item.as_table())
            {
                table_reader reader(table, title, m_findings);
                read(reader);
                reader.finish();
                continue;
            }
            m_findings.add(place_of(item.source()),
                           "each entry of " + title + " must be a table");
        }
    }

    void read_rules_section()
    {
        toml::node const* node = m_document.get("rules");
        if (node != nullptr && !node->is_table())
        {
            m_findings.add(place_of(node->source()),
                           "\"rules\" must be written as [rules]");
        }
        table_reader reader(node == nullptr ? nullptr : node->as_table(),
                            "[rules]", m_findings);
        m_result.m_rules = read_rules(reader);
    }

    void report_unknown_sections()
    {
        constexpr std::array<std::string_view, 8> known = {
            "organisation", "key",   "model", "adapter",
            "upstream",     "route", "rules", "priority"};
        for (auto const& [key, node] : m_document)
        {
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
            {
                m_findings.add(place_of(key.source()),
                               "unknown section " + quoted(key.str()));
            }
        }
    }

    std::vector<placed_text>
    read_references(table_reader& reader, std::string_view key,
                    std::vector<entity> const& accepted)
    {
        std::vector<placed_text> texts = reader.texts(key);
        for (placed_text const& item : texts)
        {
            if (item.m_text.empty())
            {
                reader.report(item.m_place,
                              quoted(key) + " must not list an empty id");
            }
            m_references.refer(accepted, item);
        }
        return texts;
    }

    placed_text read_reference(table_reader& reader, std::string_view key,
                               entity accepted)
    {
        placed_text text = reader.required_text(key);
        m_references.refer({accepted}, text);
        return text;
    }

    void read_organisation(table_reader& reader)
    {
        organisation item;
        // Row names separate the organisation from what follows by '/'.
        placed_text const id = reader.required_id("id", "/");
        m_references.declare(entity::organisation, id, m_findings);
        item.m_id = organisation_id(id.m_text);
        item.m_rate = token_rate(reader.required_number("rate", rate_range));
        item.m_burst =
            token_count(reader.required_number("burst", burst_range));
        item.m_weight = static_cast<int>(
            reader.number("weight", item.m_weight, weight_range));
        item.m_models = to_ids<model_id>(read_references(
            reader, "models", {entity::model, entity::adapter}));
        item.m_routes = to_ids<route_id>(
            read_references(reader, "routes", {entity::route}));
        m_result.m_organisations.push_back(std::move(item));
    }

    void read_key(table_reader& reader)
    {
        access_key item;
        item.m_digest = read_digest(reader);
        item.m_organisation = organisation_id(
            read_reference(reader, "organisation", entity::organisation)
                .m_text);
        placed_text const label = reader.required_text("label");
        if (label.m_text.size() > max_label_size)
        {
            reader.report(label.m_place, "\"label\" must have at most " +
                                             std::to_string(max_label_size) +
                                             " characters");
        }
        item.m_label = label.m_text;
        m_result.m_keys.push_back(std::move(item));
    }

    /** The messages do not repeat the value, as operators sometimes enter the
     *  key in place of its digest. */
    access::key_digest read_digest(table_reader& reader)
    {
        placed_text const text = reader.required_text("digest");
        if (text.m_text.empty())
        {
            return {};
        }
        auto const digest = access::parse_key_digest(text.m_text);
        if (!digest)
        {
            reader.report(text.m_place,
                          "\"digest\" must be \"sha256:\" and 64 lower-case "
                          "hex digits");
            return {};
        }
        auto const [found, is_new] =
            m_digests.emplace(text.m_text, text.m_place);
        if (!is_new)
        {
            reader.report(text.m_place,
                          "duplicate digest: the same key is at line " +
                              std::to_string(found->second.m_line));
        }
        return *digest;
    }

    void read_model(table_reader& reader)
    {
        placed_text const id = reader.required_id("id");
        m_references.declare(entity::model, id, m_findings);
        placed_text const version = reader.required_id("weights_version");
        m_result.m_models.push_back(
            {model_id(id.m_text), weights_version(version.m_text)});
    }

    void read_adapter(table_reader& reader)
    {
        adapter item;
        placed_text const id = reader.required_id("id");
        m_references.declare(entity::adapter, id, m_findings);
        item.m_id = adapter_id(id.m_text);
        item.m_model =
            model_id(read_reference(reader, "model", entity::model).m_text);
        item.m_weights_version =
            weights_version(reader.required_id("weights_version").m_text);
        item.m_organisations = to_ids<organisation_id>(
            read_references(reader, "organisations", {entity::organisation}));
        m_result.m_adapters.push_back(std::move(item));
    }

    void read_upstream(table_reader& reader)
    {
        upstream item;
        placed_text const id = reader.required_id("id");
        item.m_kind = read_kind(reader);
        bool const engine = item.m_kind == upstream_kind::engine;
        m_references.declare(engine ? entity::engine : entity::service, id,
                             m_findings);
        item.m_id = upstream_id(id.m_text);
        item.m_address = reader.required_address("address").m_text;
        item.m_zone = zone_id(reader.required_id("zone").m_text);
        std::vector<placed_text> const models =
            read_references(reader, "models", {entity::model, entity::adapter});
        item.m_models = to_ids<model_id>(models);
        item.m_fenced_orders = reader.flag("fenced_orders", false);
        if (reader.choice("state", {"active", "leaving"}).value_or(0) == 1)
        {
            item.m_state = upstream_state::leaving;
        }
        if (engine)
        {
            m_engine_models.push_back(models);
        }
        else
        {
            check_service(reader);
        }
        m_result.m_upstreams.push_back(std::move(item));
    }

    static upstream_kind read_kind(table_reader& reader)
    {
        if (!reader.has("kind"))
        {
            reader.report_missing("kind");
        }
        return reader.choice("kind", {"engine", "service"}).value_or(0) == 1
                   ? upstream_kind::service
                   : upstream_kind::engine;
    }

    static void check_service(table_reader& reader)
    {
        for (std::string_view const key : {"models", "fenced_orders"})
        {
            if (reader.has(key))
            {
                reader.report(reader.place_of_value(key),
                              "a service must not have " + quoted(key));
            }
        }
    }

    void read_route(table_reader& reader)
    {
        route item;
        placed_text const path = read_path(reader);
        placed_text const id = reader.text("id").value_or(path);
        reader.check_id("id", id, "");
        m_references.declare(entity::route, id, m_findings);
        item.m_id = route_id(id.m_text);
        item.m_path = path.m_text;
        item.m_upstreams = to_ids<upstream_id>(
            read_references(reader, "upstreams", {entity::service}));
        if (item.m_upstreams.empty())
        {
            reader.report(reader.place_of_value("upstreams"),
                          "a [[route]] must list at least one service in "
                          "\"upstreams\"");
        }
        item.m_open = reader.flag("open", item.m_open);
        item.m_repeatable = reader.flag("repeatable", item.m_repeatable);
        if (reader.choice("idempotency_key", {"optional", "required"})
                .value_or(0) == 1)
        {
            item.m_idempotency_key = idempotency_key_rule::required;
        }
        item.m_cost =
            token_count(reader.number("cost", item.m_cost.value(), cost_range));
        check_repeatable(reader, item);
        m_result.m_routes.push_back(std::move(item));
    }

    /** Claims are kept by organisation and idempotency key, and callers of an
     *  open route have no organisation. */
    static void check_repeatable(table_reader& reader, route const& item)
    {
        if (item.m_open && !item.m_repeatable)
        {
            reader.report(reader.place_of_value("repeatable"),
                          "a route that is not repeatable must not be open: "
                          "claims belong to an organisation");
        }
        if (item.m_open &&
            item.m_idempotency_key == idempotency_key_rule::required)
        {
            reader.report(reader.place_of_value("idempotency_key"),
                          "an open route cannot require an idempotency key");
        }
    }

    placed_text read_path(table_reader& reader)
    {
        placed_text path = reader.required_text("path");
        if (path.m_text.empty())
        {
            return path;
        }
        if (!is_plain_path(path.m_text))
        {
            reader.report(path.m_place,
                          "\"path\" must begin with '/' and have no empty, "
                          "\".\" or \"..\" segment, blank, '%', '?', '#' or "
                          "backslash, not " +
                              quoted(path.m_text));
        }
        else if (collides_with_reserved(path.m_text))
        {
            reader.report(path.m_place, "path " + quoted(path.m_text) +
                                            " collides with /v1/");
        }
        check_duplicate_path(reader, path);
        return path;
    }

    void check_duplicate_path(table_reader& reader, placed_text const& path)
    {
        std::string closed = path.m_text;
        if (!closed.ends_with('/'))
        {
            closed += '/';
        }
        auto const [found, is_new] = m_paths.emplace(closed, path.m_place);
        if (!is_new)
        {
            reader.report(path.m_place,
                          "path " + quoted(path.m_text) +
                              " belongs to the route at line " +
                              std::to_string(found->second.m_line));
        }
    }

    void read_priority_rule(table_reader& reader)
    {
        priority_rule const item = read_priority(reader, m_references);
        for (std::size_t i = 0; i < m_result.m_priorities.size(); ++i)
        {
            if (covers(m_result.m_priorities[i], item))
            {
                reader.report(
                    reader.begin(),
                    "this [[priority]] has no effect: the one at line " +
                        std::to_string(m_priority_places[i].m_line) +
                        " matches first");
                break;
            }
        }
        m_priority_places.push_back(reader.begin());
        m_result.m_priorities.push_back(item);
    }

    /** An engine can only serve an adapter together with its base model. */
    void check_listed_adapters()
    {
        std::map<std::string, std::string> bases;
        for (adapter const& item : m_result.m_adapters)
        {
            bases.emplace(item.m_id.value(), item.m_model.value());
        }
        for (auto const& models : m_engine_models)
        {
            std::set<std::string> listed;
            for (placed_text const& item : models)
            {
                listed.insert(item.m_text);
            }
            for (placed_text const& item : models)
            {
                auto const base = bases.find(item.m_text);
                if (base != bases.end() && !listed.contains(base->second))
                {
                    m_findings.add(
                        item.m_place,
                        "adapter " + quoted(item.m_text) + " needs its model " +
                            quoted(base->second) + " on the same engine");
                }
            }
        }
    }

    toml::table const& m_document;
    finding_list m_findings;
    configuration m_result;
    reference_table m_references;
    std::map<std::string, place> m_digests;
    std::map<std::string, place> m_paths;
    std::vector<place> m_priority_places;
    std::vector<std::vector<placed_text>> m_engine_models;
};

} // namespace

configuration parse_configuration(std::string_view text,
                                  std::string const& file_name)
{
    toml::table const document = parse_document(text, file_name);
    configuration result = configuration_reader(document, file_name).read();
    result.m_text = std::string(text);
    result.m_hash = access::sha256_hex(text);
    return result;
}

} // namespace daisylead::config
