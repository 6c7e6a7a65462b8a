/** @file Child processes of a test. */
#pragma once

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisylead::process_test
{

using milliseconds = std::chrono::milliseconds;

/** A program that was started; it is killed when the object ends. */
class child_process
{
public:
    /** Starts a program; its output goes to a file.
     *  @param arguments path of the program and its arguments
     *  @throws std::runtime_error if it cannot be started */
    child_process(std::vector<std::string> arguments,
                  std::string const& log_file);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    pid_t id() const
    {
        return m_pid;
    }

    /** Sends a signal; no effect after the process was waited for. */
    void signal(int number) const;

    /** Kills the process and waits for it. */
    void kill();

    /** Waits for the process to end.
     *  @return exit status, or minus the signal number; nothing on timeout */
    std::optional<int> wait(milliseconds timeout);

private:
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/** A folder that is removed when the object ends. */
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string file(std::string const& name) const
    {
        return m_path + "/" + name;
    }

private:
    std::string m_path;
};

/** @return "127.0.0.1:port" with a port that is free now. */
std::string free_address();

/** Polls a condition every few milliseconds.
 *  @return whether it held before the timeout */
bool eventually(milliseconds timeout, std::function<bool()> const& condition);

} // namespace daisylead::process_test
