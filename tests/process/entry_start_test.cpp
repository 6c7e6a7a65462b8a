/** @file Tests of the start of a real process of the entry instance. */
#include "child_process_base.hpp"
#include "http_call_base.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <fcntl.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>

using namespace daisylead::process_test;

namespace
{

using namespace std::chrono_literals;

/** Signals that an instance handles: SIGHUP, SIGINT and SIGTERM. */
constexpr std::uint64_t handled_signals =
    (1U << (SIGHUP - 1)) | (1U << (SIGINT - 1)) | (1U << (SIGTERM - 1));

/** One instance; its store is away. */
class entry_process
{
public:
    entry_process()
    {
        std::ofstream(settings_file())
            << "[instance]\nid = \"entry-1\"\nzone = \"a\"\nregion = \"r\"\n"
            << "[listen]\ncaller = \"" << m_addresses[0] << "\"\nreadiness = \""
            << m_addresses[1] << "\"\npeer = \"" << m_addresses[2]
            << "\"\nmetrics = \"" << m_addresses[3] << "\"\ntunnel = \""
            << m_addresses[4] << "\"\n[store]\naddress = \"" << free_address()
            << "\"\n";
    }

    void start()
    {
        m_process = std::make_unique<child_process>(
            std::vector<std::string>{std::string(BUILD_DIR) +
                                         "/daisylead-entry",
                                     "--settings", settings_file()},
            m_folder.file("log"));
    }

    child_process& process()
    {
        return *m_process;
    }

    std::string const& address(int number) const
    {
        return m_addresses[static_cast<std::size_t>(number)];
    }

    /** @return whether the instance serves; it is not ready without a store. */
    bool serves() const
    {
        return has_status(fetch(m_addresses[3], "/metrics"), 200);
    }

    std::string log() const
    {
        std::ifstream stream(m_folder.file("log"));
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

private:
    std::string settings_file() const
    {
        return m_folder.file("settings.toml");
    }

    temporary_folder m_folder;
    std::vector<std::string> m_addresses{free_address(), free_address(),
                                         free_address(), free_address(),
                                         free_address()};
    std::unique_ptr<child_process> m_process;
};

/** @return the blocked or the caught signals of a process, or 0. */
std::uint64_t signals_of(child_process const& process, std::string const& field)
{
    std::ifstream stream("/proc/" + std::to_string(process.id()) + "/status");
    for (std::string line; std::getline(stream, line);)
    {
        if (line.starts_with(field + ":"))
        {
            return std::stoull(line.substr(field.size() + 1), nullptr, 16);
        }
    }
    return 0;
}

} // namespace

TEST_CASE("a signal before the instance handles it does not end the process")
{
    // Guards against a change of settings, or a stop, right after the start.
    entry_process entry;
    entry.start();
    REQUIRE(eventually(5s,
                       [&]
                       {
                           return (signals_of(entry.process(), "SigBlk") &
                                   handled_signals) == handled_signals ||
                                  (signals_of(entry.process(), "SigCgt") &
                                   handled_signals) == handled_signals;
                       }));
    entry.process().signal(SIGHUP);
    CHECK(eventually(10s, [&] { return entry.serves(); }));
    CHECK_FALSE(entry.process().wait(0ms));
    entry.process().signal(SIGTERM);
    CHECK(entry.process().wait(10s) == 0);
    CHECK(entry.log().find("\"draining\"") != std::string::npos);
}

TEST_CASE("an instance waits for a port that is taken")
{
    // Guards against a process that ends because the former one, or a
    // connection of another one, still has a port.
    for (int number = 0; number < 5; ++number)
    {
        CAPTURE(number);
        entry_process entry;
        asio::io_context context;
        std::string const address = entry.address(number);
        auto const port = static_cast<asio::ip::port_type>(
            std::stoi(address.substr(address.find(':') + 1)));
        auto other = std::make_unique<asio::ip::tcp::acceptor>(
            context,
            asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        // Else the process under test holds the port itself.
        ::fcntl(other->native_handle(), F_SETFD, FD_CLOEXEC);
        entry.start();
        CHECK_FALSE(entry.process().wait(500ms));
        CHECK(entry.log().find("listen_failed") != std::string::npos);
        other.reset();
        CHECK(eventually(10s, [&] { return entry.serves(); }));
        CHECK_FALSE(entry.process().wait(0ms));
    }
}

TEST_CASE("a stop signal ends an instance that waits for a port")
{
    entry_process entry;
    asio::io_context context;
    std::string const address = entry.address(0);
    asio::ip::tcp::acceptor const other(
        context,
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                static_cast<asio::ip::port_type>(std::stoi(
                                    address.substr(address.find(':') + 1)))));
    entry.start();
    REQUIRE(eventually(
        5s, [&]
        { return entry.log().find("listen_failed") != std::string::npos; }));
    entry.process().signal(SIGTERM);
    CHECK(entry.process().wait(5s) == 0);
}
