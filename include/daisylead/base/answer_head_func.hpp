/** @file What the head of an HTTP/1.1 answer must look like. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace daisylead
{

/** @return whether a field may have the name: a token of RFC 9110, 5.6.2. */
bool is_field_name(std::string_view name);

/** @return whether two field names are the same. */
bool is_same_field_name(std::string_view a, std::string_view b);

/** @return whether a field may have the value: RFC 9110, 5.5, so no control
 *          byte but a tab. */
bool is_field_value(std::string_view value);

/** @return whether an answer with the status is final: 200 to 599, RFC 9110,
 *          section 15. */
bool is_final_status(int status);

/** @return whether an answer with the status announces a final one. 101 does
 *          not, as no request asks for another protocol. */
bool is_interim_status(int status);

/** @param line without its line end
 *  @return the status of a status line of HTTP/1.0 or 1.1 (RFC 9112, section
 *          4), or nothing if it is none */
std::optional<int> parse_status_line(std::string_view line);

/** Checks the fields of one answer, also those of its trailer. */
class answer_fields_check
{
public:
    /** Looks at the next field. */
    void add(std::string_view name, std::string_view value);

    /** @return why the fields are none of an answer whose body can be read, or
     *          an empty string. A transfer coding that no request asked for, a
     *          length beside one, and several lengths leave it open where the
     *          body ends. */
    std::string_view fault() const
    {
        return m_fault;
    }

private:
    void add_coding(std::string_view value);
    void add_length(std::string_view value);
    void fail(std::string_view fault);

    std::string_view m_fault;
    bool m_has_coding = false;
    std::optional<std::string> m_length;
};

} // namespace daisylead
