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

/** Serves callers until a stop signal. Decisions and traffic share one thread:
 *  such instances have a part of one core. */
class entry_instance
{
public:
    /** @param context runs the instance; the adapter's calls use it too
     *  @param settings may change in place on reload
     *  @param reload reads the settings anew; nothing if they did not change
     *  @throws daisylead::error if an address cannot be used */
    entry_instance(
        boost::asio::io_context& context, config::entry_settings& settings,
        adapter platform_adapter, peer::transport_factory const& make_transport,
        std::function<std::optional<config::entry_settings>()> reload);
    ~entry_instance();
    entry_instance(entry_instance const&) = delete;
    entry_instance& operator=(entry_instance const&) = delete;

    /** Runs until the instance has shut down. */
    void run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::entry
