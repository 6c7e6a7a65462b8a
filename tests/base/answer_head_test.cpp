/** @file Tests of the grammar of the heads of answers. */
#include "answer_samples.hpp"

#include <daisylead/base/answer_head_func.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <regex>

using namespace daisylead;

namespace
{

/** The grammar of RFC 9110 and 9112, written down once more. */
std::regex const token("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
std::regex const
    status_line("HTTP/1\\.[01] [0-9]{3}( [\\t\\x20-\\x7e\\x80-\\xff]*)?");

std::string_view
fault_of(std::vector<std::pair<std::string, std::string>> const& fields)
{
    answer_fields_check check;
    for (auto const& [name, value] : fields)
    {
        check.add(name, value);
    }
    return check.fault();
}

} // namespace

TEST_CASE("a field name is a token, whatever bytes come")
{
    // Guards against names with blanks, control bytes or none at all.
    CHECK_FALSE(is_field_name(""));
    for (int i = 0; i < 256; ++i)
    {
        char const c = static_cast<char>(i);
        CAPTURE(i);
        bool const allowed = std::regex_match(std::string(1, c), token);
        for (std::string const& name :
             {std::string{c}, std::string{'A', c}, std::string{c, 'A'},
              std::string{'A', c, 'A'}})
        {
            CHECK(is_field_name(name) == allowed);
        }
        bool const is_text = i == '\t' || (i >= 0x20 && i != 0x7f);
        CHECK(is_field_value(std::string{'a', c, 'b'}) == is_text);
    }
}

TEST_CASE("names and status lines of random bytes follow the grammar")
{
    CHECK(rc::check(
        "names", [](std::string const& name)
        { RC_ASSERT(is_field_name(name) == std::regex_match(name, token)); }));
    CHECK(rc::check("status lines",
                    []
                    {
                        std::string line = "HTTP/1.1 200 OK";
                        auto const at =
                            *rc::gen::inRange<std::size_t>(0, line.size());
                        line.replace(at, *rc::gen::inRange<std::size_t>(0, 3),
                                     *rc::gen::arbitrary<std::string>());
                        RC_ASSERT(parse_status_line(line).has_value() ==
                                  std::regex_match(line, status_line));
                    }));
    CHECK(rc::check(
        "fields",
        [](std::vector<std::pair<std::string, std::string>> const& fields)
        { static_cast<void>(fault_of(fields)); }));
}

TEST_CASE("only final statuses between 200 and 599 are answers")
{
    // Guards against a status such as 000 that is passed on.
    for (int status = -1; status < 1100; ++status)
    {
        CAPTURE(status);
        CHECK(is_final_status(status) == (status >= 200 && status < 600));
        CHECK(is_interim_status(status) ==
              (status >= 100 && status < 200 && status != 101));
    }
    CHECK(parse_status_line("HTTP/1.1 204") == 204);
    CHECK(parse_status_line("HTTP/1.0 200 Fine, thanks") == 200);
}

TEST_CASE("fields that leave the end of the body open are a fault")
{
    CHECK(fault_of({{"Content-Length", "3"}, {"A", "b c\t\xe4"}}).empty());
    CHECK(fault_of({{"content-length", "3"}, {"Content-Length", "3"}}).empty());
    CHECK(fault_of({{"transfer-ENCODING", "Chunked"}}).empty());
    CHECK(fault_of({{"Transfer-Encoding", "gzip"}}) == "transfer coding");
    CHECK(fault_of({{"Transfer-Encoding", "chunked, gzip"}}) ==
          "transfer coding");
    CHECK(fault_of({{"Content-Length", "3"}, {"Content-Length", "4"}}) ==
          "several lengths");
    CHECK(
        fault_of({{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}}) ==
        "length and transfer coding");
    CHECK(fault_of({{"Transfer-Encoding", "chunked"},
                    {"Content-Length", "3"}}) == "length and transfer coding");
    CHECK(fault_of({{"Content-Length", "3, 3"}}) == "length");
}
