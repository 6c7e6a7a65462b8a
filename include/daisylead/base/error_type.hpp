/** @file Exceptions of the library and findings with their place. */
#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace daisylead
{

/** Base of all exceptions of this project. */
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** An address cannot be listened on now; another process may use its port. */
class listen_error : public error
{
public:
    using error::error;
};

/** A problem found in a settings or configuration document. */
struct finding
{
    std::string m_file;    ///< name of the document
    int m_line = 0;        ///< line, from 1; 0 if unknown
    int m_column = 0;      ///< column, from 1; 0 if unknown
    std::string m_message; ///< what is wrong and what is expected
};

/** @return "file:line:column: message". */
std::string to_string(finding const& item);

/** Thrown with all findings of a document at once. */
class findings_error : public error
{
public:
    explicit findings_error(std::vector<finding> findings);

    std::vector<finding> const& findings() const
    {
        return m_findings;
    }

private:
    std::vector<finding> m_findings;
};

} // namespace daisylead
