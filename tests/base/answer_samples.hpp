/** @file Answers that are none, for the tests of all that read answers. */
#pragma once

#include <string>
#include <vector>

namespace daisylead::test
{

/** The parts of a head that make it none of an answer. */
struct invalid_head
{
    std::string m_name;
    std::string m_status_line = "HTTP/1.1 200 OK";
    std::string m_field = "";                    ///< a line more, or empty
    std::string m_framing = "Content-Length: 3"; ///< of the body "abc"
    std::string m_body = "abc";
};

/** @return the bytes of an answer with that head.
 *  @param fields more lines of the head, each with its line end */
inline std::string make_bytes(invalid_head const& head,
                              std::string const& fields)
{
    std::string bytes = head.m_status_line + "\r\n";
    bytes += fields;
    if (!head.m_field.empty())
    {
        bytes += head.m_field + "\r\n";
    }
    if (!head.m_framing.empty())
    {
        bytes += head.m_framing + "\r\n";
    }
    return bytes + "\r\n" + head.m_body;
}

inline std::vector<invalid_head> invalid_heads()
{
    std::vector<invalid_head> heads;
    for (char const* status : {"000", "001", "099", "101", "600", "999", "2000",
                               "20", "+20", "-20", "2x0", "", " 200"})
    {
        heads.push_back({std::string("status ") + status,
                         std::string("HTTP/1.1 ") + status + " OK"});
    }
    heads.push_back({"no version", "200 OK"});
    heads.push_back({"version 3", "HTTP/3.1 200 OK"});
    heads.push_back({"reason with a control byte", "HTTP/1.1 200 O\x01K"});
    for (std::string const& field :
         {std::string("A b: c"), std::string("A : c"), std::string("A\t: c"),
          std::string("A\tb: c"), std::string("\x01: c"),
          std::string("A\x01: c"), std::string("A\x7f: c"),
          std::string("A\0b: c", 6), std::string("A\xc3\xa4: c"),
          std::string("A\rb: c"), std::string(": c"), std::string("no colon"),
          std::string("A(b): c"), std::string("A: b\x01"),
          std::string("A: b\x7f"), std::string("A: b\0c", 6),
          std::string("A: b\rc")})
    {
        heads.push_back({"field " + field, "HTTP/1.1 200 OK", field});
    }
    std::string const chunked_body = "3\r\nabc\r\n0\r\n\r\n";
    for (char const* framing :
         {"Transfer-Encoding : chunked", "Transfer\x01-Encoding: chunked",
          "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 3",
          "Content-Length: 3\r\nTransfer-Encoding: chunked"})
    {
        heads.push_back({std::string("framing ") + framing, "HTTP/1.1 200 OK",
                         "", framing, chunked_body});
    }
    for (char const* framing :
         {"Content-Length: 3\r\nContent-Length: 2", "Content-Length: -3",
          "Content-Length: +3", "Content-Length: 3x",
          "Content-Length:", "Content-Length: 99999999999999999999999"})
    {
        heads.push_back({std::string("framing ") + framing, "HTTP/1.1 200 OK",
                         "", framing});
    }
    for (std::string const& trailer :
         {std::string("A b: c"), std::string("A\x01: c"), std::string(": c"),
          std::string("A: b\x01")})
    {
        heads.push_back({"trailer " + trailer, "HTTP/1.1 200 OK", "",
                         "Transfer-Encoding: chunked",
                         "3\r\nabc\r\n0\r\n" + trailer + "\r\n\r\n"});
    }
    return heads;
}

} // namespace daisylead::test
