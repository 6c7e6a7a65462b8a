/** @file Interface for answering one request. */
#pragma once

#include <daisylead/http/message_type.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace daisylead::http
{

/** Writes the response to one request. All functions may be called from any
 *  thread, but not by two threads at once. */
class response_writer
{
public:
    response_writer() = default;
    response_writer(response_writer const&) = delete;
    response_writer& operator=(response_writer const&) = delete;
    virtual ~response_writer() = default;

    /** Sends a whole response.
     *  @param close whether the connection is closed after it
     *  @pre neither send() nor start() was called */
    virtual void send(int status, header_list const& headers, std::string body,
                      bool close) = 0;

    /** Begins a chunked response.
     *  @pre neither send() nor start() was called */
    virtual void start(int status, header_list const& headers) = 0;

    /** Closes the connection after a chunked response.
     *  @pre start() was not called */
    virtual void close_after_response() = 0;

    /** Appends bytes to a chunked response and sends them.
     *  @pre start() was called and finish() was not */
    virtual void write(std::string bytes) = 0;

    /** Ends a chunked response.
     *  @pre start() was called and finish() was not */
    virtual void finish() = 0;

    /** @return bytes given to write() that were not yet sent. */
    virtual std::size_t pending_bytes() const = 0;

    /** Sets a hook that runs on a server thread each time bytes were sent. */
    virtual void set_sent_hook(std::function<void()> hook) = 0;
};

} // namespace daisylead::http
