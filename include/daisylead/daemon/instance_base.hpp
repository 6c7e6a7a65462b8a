/** @file One running instance. */
#pragma once

#include <daisylead/config/settings_type.hpp>
#include <daisylead/peer/transport_base.hpp>

#include <memory>

namespace daisylead::daemon
{

/** Wires sockets, timers and threads to the control state. Serves from
 *  construction to destruction. */
class instance
{
public:
    /** @param make_transport makes the transport between instances
     *  @throws daisylead::error if an address cannot be used */
    instance(config::settings settings,
             peer::transport_factory const& make_transport);
    ~instance();
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    /** Begins a graceful shutdown. */
    void drain();

    /** @return whether a graceful shutdown has ended. */
    bool is_drained() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace daisylead::daemon
