/** @file An entry instance on a platform with its own store. */
#pragma once

#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/entry/adapter_type.hpp>
#include <daisylead/peer/transport_base.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisylead::entry
{

/** Serves callers until a stop signal. Control tasks and traffic share one
 *  thread, as these instances have a share of one core. */
class entry_instance
{
public:
    /** @param context runs the instance and the calls of the adapter
     *  @param settings changed in place on reload
     *  @param reload reads the settings again; nothing if they did not change
     *  @throws daisylead::error if an address cannot be used */
    entry_instance(
        boost::asio::io_context& context, config::entry_settings& settings,
        adapter platform_adapter, peer::transport_factory const& make_transport,
        std::function<std::optional<config::entry_settings>()> reload);
    ~entry_instance();
    entry_instance(entry_instance const&) = delete;
    entry_instance& operator=(entry_instance const&) = delete;

    /** Blocks until the instance has shut down. */
    void run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::entry
