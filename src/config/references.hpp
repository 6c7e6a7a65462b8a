/** @file Identifiers of a configuration and the references to them. */
#pragma once

#include "table_reader.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace daisylead::config
{

enum class entity
{
    organisation, ///< [[organisation]]
    model,        ///< [[model]]
    adapter,      ///< [[adapter]]; shares its identifiers with models
    engine,       ///< [[upstream]] of kind "engine"
    service,      ///< [[upstream]] of kind "service"
    route         ///< [[route]]
};

/** Collects what a document declares and refers to. References may precede
 *  the declaration, so they are resolved when everything has been read. */
class reference_table
{
public:
    /** Adds an identifier; reports one that exists already. */
    void declare(entity kind, placed_text const& id, finding_list& findings);

    /** Adds a reference.
     *  @param accepted kinds of which the target may be, not empty */
    void refer(std::vector<entity> accepted, placed_text const& id);

    /** Reports references whose target is absent or of another kind. */
    void resolve(finding_list& findings) const;

    /** @return whether @p id is declared as @p kind. */
    bool is_declared(entity kind, std::string const& id) const;

private:
    struct declaration
    {
        entity m_kind; ///< what it is
        place m_place; ///< where it stands
    };

    struct reference
    {
        std::vector<entity> m_accepted; ///< kinds that fit
        placed_text m_id;               ///< the target
    };

    /** Kinds of the same name space have the same number. */
    static int name_space(entity kind);
    declaration const* find(entity kind, std::string const& id) const;

    std::map<std::pair<int, std::string>, declaration> m_declarations;
    std::vector<reference> m_references;
};

} // namespace daisylead::config
