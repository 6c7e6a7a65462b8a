/** @file Models of the engine stand-in and the orders that change them. */
#pragma once

#include "standin_base.hpp"

#include <daisylead/http/client_base.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace daisylead::standin
{

/** Loads weights from the platform and keeps what orders asked for. */
class weights
{
public:
    /** Begins to load the models of the options. */
    weights(asio::io_context& context, options const& options);

    /** @return whether a load is in progress. */
    bool is_loading() const
    {
        return !m_loading.empty();
    }

    /** @return whether a model or adapter can be used now. */
    bool serves(std::string const& id) const;

    /** @return whether requests for a weights version are accepted; an empty
     *  version and an unlisted model are not checked. */
    bool matches(std::string const& id, std::string const& version) const;

    /** Checks the fencing number, if this engine does, and starts the order.
     *  @return whether the order was accepted
     *  @throws error or nlohmann::json::exception if it is malformed */
    bool order(nlohmann::json const& body);

    /** @return loaded models and adapters with their versions. */
    std::map<std::string, std::string> const& loaded() const
    {
        return m_loaded;
    }

    /** @return the state in force, for GET /engine/orders. */
    nlohmann::json state() const;

private:
    void load(std::string const& id, std::string const& version);
    void fetch(std::string const& id, std::string const& version);
    void take(std::string const& id, std::string const& version, bool ok);

    asio::io_context& m_context;
    options m_options;
    bool m_any_model; ///< serves models that were not loaded
    std::map<std::string, std::string> m_loaded;  ///< id to version
    std::map<std::string, std::string> m_loading; ///< id to version
    std::int64_t m_fence = 0;                     ///< highest seen
    std::int64_t m_orders = 0;                    ///< orders accepted
    std::int64_t m_stale_orders = 0; ///< orders with a fence that was passed
    std::string m_role;              ///< from the last set_role
    std::unique_ptr<http::client> m_client; ///< null without a platform
};

} // namespace daisylead::standin
