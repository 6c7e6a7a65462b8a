/** @file Client of the platform's table, object store and instance list. */
#pragma once

#include <daisylead/http/client_base.hpp>
#include <daisylead/table/table_type.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::table
{

/** Address of the platform and timeout of its calls. */
struct platform_options
{
    std::string m_address;                     ///< "IP:port"
    std::chrono::milliseconds m_timeout{1000}; ///< timeout of one call
};

/** Calls the platform over HTTP. Replies are delivered on the HTTP client's
 *  thread. */
class table_client
{
public:
    /** @param client must outlive this object */
    table_client(platform_options options, http::client& client);

    /** Runs a transaction. */
    void transact(table_transaction const& transaction,
                  std::function<void(transaction_reply)> on_reply);

    /** Reads rows. */
    void read(table_read const& query,
              std::function<void(read_reply)> on_reply);

    /** Reads an object; replies with nothing if it is absent or the store
     *  cannot be reached. */
    void get_object(std::string const& name,
                    std::function<void(std::optional<std::string>)> on_reply);

    /** Writes an object; replies whether the store confirmed the write. */
    void put_object(std::string const& name, std::string content,
                    std::function<void(bool)> on_reply);

    /** Reads the instance list; replies with nothing if it cannot be read. */
    void list_instances(
        std::function<void(std::optional<std::vector<listed_instance>>)>
            on_reply);

private:
    http::client_request make_request(std::string method,
                                      std::string const& path) const;

    platform_options m_options;
    http::client& m_client;
};

} // namespace daisylead::table
