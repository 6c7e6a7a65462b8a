/** @file Repair of settings that a template filled in. */
#include "rendered_settings_func.hpp"

#include "table_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace daisylead::config
{

namespace
{

enum class rounding
{
    down, ///< a larger value could break a bound
    up    ///< a smaller value could break a bound
};

/** A number that may arrive in another form. */
struct number_rule
{
    std::string_view m_section; ///< name of the table
    std::string_view m_key;     ///< name in the table
    value_range m_range;        ///< a value outside is moved to its end
    rounding m_rounding;        ///< of a fraction
};

constexpr std::int64_t most_ms = 60000;
constexpr std::int64_t most_validity_ms = 600000;
constexpr std::int64_t most_window_s = 600;
constexpr std::int64_t most_extra = 1000000;
constexpr double most_ratio = 10;
constexpr double most_size = 1000;
constexpr std::int64_t most_limit = 16777216;

constexpr std::array number_rules{
    number_rule{"store", "timeout_ms", {10, most_ms}, rounding::down},
    number_rule{"store", "read_interval_ms", {10, most_ms}, rounding::down},
    number_rule{"peers", "news_interval_ms", {10, most_ms}, rounding::down},
    number_rule{
        "bounds", "key_validity_ms", {500, most_validity_ms}, rounding::down},
    number_rule{"bounds",
                "configuration_apply_ms",
                {500, most_validity_ms},
                rounding::down},
    number_rule{"bounds", "order_handover_ms", {10, most_ms}, rounding::up},
    number_rule{"bounds",
                "weights_max_age_ms",
                {500, most_validity_ms},
                rounding::down},
    number_rule{"bounds", "retry_extra", {0, most_extra}, rounding::down},
    number_rule{"bounds", "retry_window_s", {1, most_window_s}, rounding::up},
    number_rule{"bounds", "grace_s", {1, most_window_s}, rounding::down},
    number_rule{"orders", "load_percent", {1, 100}, rounding::down},
    number_rule{"limits", "memory_mb", {1, most_limit}, rounding::down},
    number_rule{"limits", "descriptors", {1, most_limit}, rounding::down},
    number_rule{"limits", "caller_memory_percent", {1, 100}, rounding::down}};

/** Other keys, which are read as they are. */
struct known_key
{
    std::string_view m_section; ///< name of the table
    std::string_view m_key;     ///< name in the table
};

constexpr std::array known_keys{
    known_key{"instance", "id"},     known_key{"instance", "zone"},
    known_key{"instance", "region"}, known_key{"instance", "size"},
    known_key{"listen", "caller"},   known_key{"listen", "readiness"},
    known_key{"listen", "peer"},     known_key{"listen", "metrics"},
    known_key{"listen", "tunnel"},   known_key{"store", "address"},
    known_key{"peers", "seeds"},     known_key{"bounds", "retry_ratio"},
    known_key{"log", "level"}};

std::optional<double> number_of(toml::node const& node)
{
    if (auto const* whole = node.as_integer())
    {
        return static_cast<double>(whole->get());
    }
    if (auto const* fraction = node.as_floating_point())
    {
        return fraction->get();
    }
    auto const* text = node.as_string();
    if (text == nullptr)
    {
        return std::nullopt;
    }
    std::string const& digits = text->get();
    double value = 0;
    char const* const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

/** Brings the values of a document into the form that the strict reader takes,
 *  and drops what it does not know. */
class document_repair
{
public:
    document_repair(toml::table& document, std::vector<std::string>& warnings)
        : m_document(document), m_warnings(warnings)
    {
    }

    void run()
    {
        drop_unknown();
        for (number_rule const& rule : number_rules)
        {
            repair_number(rule);
        }
        repair_fraction("instance", "size", most_size);
        repair_fraction("bounds", "retry_ratio", most_ratio);
        repair_seeds();
        repair_level();
    }

private:
    void warn(std::string_view section, std::string_view key,
              std::string const& what)
    {
        std::string line(section);
        line += '.';
        line += key;
        line += ' ';
        line += what;
        m_warnings.push_back(std::move(line));
    }

    void drop(std::string_view section, std::string_view key,
              std::string const& why)
    {
        warn(section, key, why);
        m_document[section].as_table()->erase(key);
    }

    static bool is_known(std::string_view section, std::string_view key)
    {
        for (known_key const& item : known_keys)
        {
            if (item.m_section == section && item.m_key == key)
            {
                return true;
            }
        }
        for (number_rule const& item : number_rules)
        {
            if (item.m_section == section && item.m_key == key)
            {
                return true;
            }
        }
        return false;
    }

    void drop_unknown()
    {
        std::vector<std::pair<std::string, std::string>> unknown;
        std::vector<std::string> strange;
        for (auto const& [section, node] : m_document)
        {
            auto const* const table = node.as_table();
            if (table == nullptr)
            {
                strange.emplace_back(section.str());
                continue;
            }
            for (auto const& [key, value] : *table)
            {
                if (!is_known(section.str(), key.str()))
                {
                    unknown.emplace_back(section.str(), key.str());
                }
            }
        }
        for (auto const& [section, key] : unknown)
        {
            drop(section, key, "is not known and ignored");
        }
        for (std::string const& section : strange)
        {
            m_warnings.push_back(section + " is no table and ignored");
            m_document.erase(section);
        }
        std::set<std::string> sections;
        for (known_key const& item : known_keys)
        {
            sections.emplace(item.m_section);
        }
        for (number_rule const& item : number_rules)
        {
            sections.emplace(item.m_section);
        }
        std::vector<std::string> others;
        for (auto const& [section, node] : m_document)
        {
            if (!sections.contains(std::string(section.str())))
            {
                others.emplace_back(section.str());
            }
        }
        for (std::string const& section : others)
        {
            m_document.erase(section);
        }
    }

    void repair_number(number_rule const& rule)
    {
        toml::node* const node = m_document[rule.m_section][rule.m_key].node();
        if (node == nullptr)
        {
            return;
        }
        auto const value = number_of(*node);
        if (!value || !std::isfinite(*value))
        {
            drop(rule.m_section, rule.m_key,
                 "is no number; the default is used");
            return;
        }
        double const rounded = rule.m_rounding == rounding::down
                                   ? std::floor(*value)
                                   : std::ceil(*value);
        double const kept =
            std::clamp(rounded, static_cast<double>(rule.m_range.m_least),
                       static_cast<double>(rule.m_range.m_most));
        auto const result = static_cast<std::int64_t>(kept);
        if (kept != *value)
        {
            warn(rule.m_section, rule.m_key,
                 "is taken as " + std::to_string(result));
        }
        m_document[rule.m_section].as_table()->insert_or_assign(rule.m_key,
                                                                result);
    }

    /** Fractions are kept as texts, because platforms write them in several
     *  forms. */
    void repair_fraction(std::string_view section, std::string_view key,
                         double most)
    {
        toml::node* const node = m_document[section][key].node();
        if (node == nullptr)
        {
            return;
        }
        auto const value = number_of(*node);
        if (!value || !std::isfinite(*value))
        {
            drop(section, key, "is no number; the default is used");
            return;
        }
        double const kept = std::clamp(*value, 0.0, most);
        if (kept != *value)
        {
            warn(section, key, "is taken as " + std::to_string(kept));
        }
        m_document[section].as_table()->insert_or_assign(key,
                                                         std::to_string(kept));
    }

    void repair_seeds()
    {
        toml::node* const node = m_document["peers"]["seeds"].node();
        if (node == nullptr)
        {
            return;
        }
        toml::array* const list = node->as_array();
        if (list == nullptr)
        {
            drop("peers", "seeds", "is no list and ignored");
            return;
        }
        toml::array kept;
        std::set<std::string> seen;
        for (toml::node const& item : *list)
        {
            auto const* const text = item.as_string();
            if (text == nullptr || !is_address(text->get()))
            {
                warn("peers", "seeds", "has an entry that is no address");
            }
            else if (seen.insert(text->get()).second)
            {
                kept.push_back(text->get());
            }
        }
        m_document["peers"].as_table()->insert_or_assign("seeds",
                                                         std::move(kept));
    }

    void repair_level()
    {
        auto const level = m_document["log"]["level"];
        if (!level)
        {
            return;
        }
        std::set<std::string> const levels{"debug", "info", "warning", "error"};
        if (!levels.contains(level.value_or(std::string())))
        {
            drop("log", "level", "is no level; the default is used");
        }
    }

    toml::table& m_document;
    std::vector<std::string>& m_warnings;
};

} // namespace

void repair_rendered_document(toml::table& document,
                              std::vector<std::string>& warnings)
{
    document_repair(document, warnings).run();
}

} // namespace daisylead::config
