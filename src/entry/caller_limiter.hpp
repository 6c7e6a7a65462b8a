/** @file Bounds on the connections of callers and on what they hold. */
#pragma once

#include "caller_connection.hpp"

#include <daisylead/config/entry_settings_type.hpp>
#include <daisylead/serving/byte_budget_base.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <cstddef>
#include <memory>

namespace daisylead::entry
{

/** Bounds of one process. */
struct caller_bounds
{
    std::size_t m_bytes = 0;       ///< of all requests together
    std::size_t m_connections = 0; ///< of callers at a time
};

/** @return the bounds that follow from the settings and, where they do not
 *          state them, from the limits of the system. */
caller_bounds bounds_for(config::entry_settings const& settings);

class caller_slot;
class request_memory;

/** Keeps callers that do not finish their requests from using up the memory and
 *  the descriptors of the process. At the bound of the connections, the one
 *  that has been idle, or has made no progress with a request, for longest is
 *  closed; at the bound of the memory, the largest request that makes no
 *  progress. */
class caller_limiter
{
public:
    caller_limiter(asio::any_io_executor executor, telemetry::metrics& metrics,
                   caller_bounds bounds);
    ~caller_limiter();
    caller_limiter(caller_limiter const&) = delete;
    caller_limiter& operator=(caller_limiter const&) = delete;

    /** Adds a connection.
     *  @return null if all connections have requests in progress */
    std::shared_ptr<caller_slot>
    admit(std::shared_ptr<caller_connection> const& caller);

    /** Starts to account for a request that is read. */
    std::unique_ptr<request_memory>
    open(std::shared_ptr<caller_slot> const& slot);

    class impl;

private:
    /** Shared with the coroutines of connections, which may outlive this. */
    std::shared_ptr<impl> m_impl;
};

/** Place of a connection, for its lifetime. */
class caller_slot
{
public:
    enum class phase
    {
        idle,    ///< between requests
        reading, ///< part of a request was read
        handling ///< a request is in progress; the connection stays open
    };

    caller_slot(std::shared_ptr<caller_limiter::impl> limiter,
                std::shared_ptr<caller_connection> const& caller);
    ~caller_slot();
    caller_slot(caller_slot const&) = delete;
    caller_slot& operator=(caller_slot const&) = delete;

    /** Records progress of the connection. */
    void set_phase(phase next);

    /** @return whether the connection is open on this side. */
    bool is_open() const;

    /** @return whether bytes have arrived that were not read yet. */
    bool has_input() const;

private:
    friend class caller_limiter::impl;

    std::shared_ptr<caller_limiter::impl> m_limiter;
    std::weak_ptr<caller_connection> m_caller;
    phase m_phase = phase::idle;
    time_point m_since;
};

/** Memory of a request, from its first byte to the end of its answer. */
class request_memory
{
public:
    request_memory(std::shared_ptr<caller_limiter::impl> limiter,
                   std::shared_ptr<caller_slot> slot);
    ~request_memory();
    request_memory(request_memory const&) = delete;
    request_memory& operator=(request_memory const&) = delete;

    /** Reserves room for so many bytes of a body, header and buffers
     *  included. Pauses until it is there.
     *  @return false if there was none in time */
    awaitable<bool> reserve(std::size_t body_size);

    /** Records that a part of the request arrived. */
    void note_progress();

    /** Records that the request was read. */
    void note_complete();

private:
    std::shared_ptr<caller_limiter::impl> m_limiter;
    std::shared_ptr<caller_slot> m_slot;
    serving::byte_holder m_holder;
    bool m_holds_body = false;
};

} // namespace daisylead::entry
