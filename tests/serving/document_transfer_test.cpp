/** @file Tests of documents that are transferred in parts. */
#include <daisylead/serving/document_assembly_base.hpp>
#include <daisylead/serving/document_encoding_func.hpp>
#include <daisylead/serving/document_source_base.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace daisylead;
using namespace daisylead::serving;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t unlimited = 1 << 30;

time_point const start{100s};

/** @return text that compresses to about half. */
std::string make_text(std::size_t size, unsigned seed = 1)
{
    std::mt19937 random(seed);
    std::string text(size, '0');
    for (char& digit : text)
    {
        digit = "0123456789abcdef"[random() % 16];
    }
    return text;
}

std::shared_ptr<document const> make_document(std::uint64_t revision,
                                              std::string bytes)
{
    return std::make_shared<document const>(
        document{revision, 10 * revision, std::move(bytes)});
}

/** Fetches from a source until the document is complete.
 *  @return number of parts, or 0 if one was rejected */
int fetch(document_source& source, document_assembly& assembly,
          std::string const& known)
{
    for (int parts = 1;; ++parts)
    {
        switch (assembly.add(
            source.next_part(assembly.next_request(known), 50ms, start), known,
            start))
        {
        case document_assembly::progress::complete:
            return parts;
        case document_assembly::progress::rejected:
            return 0;
        case document_assembly::progress::more:
            break;
        }
    }
}

} // namespace

TEST_CASE("a document arrives in parts")
{
    std::string const text = make_text(200'000);
    document_source source(unlimited);
    source.set_newest(make_document(3, text));
    document_assembly assembly;
    CHECK(fetch(source, assembly, "") > 2);
    CHECK(assembly.read_at() == start - 50ms);
    auto const received = assembly.take();
    REQUIRE(received);
    CHECK(received->m_bytes == text);
    CHECK(received->m_revision == 3);
    CHECK(received->m_content_order == 30);
    CHECK(assembly.received() == 0);
}

TEST_CASE("a changed document arrives as differences to the known one")
{
    // Guards against a transfer of the whole document for each change.
    std::string const before = make_text(1'000'000);
    std::string after = before;
    after.insert(400'000, "a new route");
    document_source source(unlimited);
    source.set_newest(make_document(1, before));
    source.set_newest(make_document(2, after));
    document_assembly assembly;
    CHECK(fetch(source, assembly, before) == 1);
    CHECK(assembly.received() < 1000);
    auto const received = assembly.take();
    REQUIRE(received);
    CHECK(received->m_bytes == after);
    // Also if two changes lie between.
    std::string last = after;
    last.erase(100, 3);
    source.set_newest(make_document(3, last));
    CHECK(fetch(source, assembly, before) == 1);
    CHECK(assembly.take()->m_bytes == last);
}

TEST_CASE("a transfer goes on after a change of the document")
{
    // Guards against transfers that never end while the document changes.
    std::string const before = make_text(200'000, 1);
    document_source source(unlimited);
    source.set_newest(make_document(1, before));
    document_assembly assembly;
    auto const first = source.next_part(assembly.next_request(""), 0ms, start);
    CHECK(assembly.add(first, "", start) == document_assembly::progress::more);
    for (std::uint64_t revision = 2; revision < 20; ++revision)
    {
        source.set_newest(
            make_document(revision, make_text(200'000, revision)));
    }
    auto const second =
        source.next_part(assembly.next_request(""), 0ms, start + 1s);
    CHECK(second.m_encoding == first.m_encoding);
    CHECK(second.m_offset == first.m_bytes.size());
    // It is no proof of the newest document any more.
    CHECK(first.m_state.m_age_ms);
    CHECK_FALSE(second.m_state.m_age_ms);
    CHECK(fetch(source, assembly, "") > 0);
    CHECK(assembly.read_at() == start);
    CHECK(assembly.take()->m_bytes == before);
    // What was fetched is a base for the next one.
    CHECK(source.next_part(assembly.next_request(before), 0ms, start + 2s)
              .m_base == digest_of_document(before));
}

TEST_CASE("a transfer goes on at another peer with the same document")
{
    std::string const text = make_text(200'000);
    document_source first(unlimited);
    document_source second(unlimited);
    first.set_newest(make_document(1, text));
    second.set_newest(make_document(1, text));
    document_assembly assembly;
    assembly.add(first.next_part(assembly.next_request(""), 0ms, start), "",
                 start);
    std::size_t const received = assembly.received();
    auto const part = second.next_part(assembly.next_request(""), 0ms, start);
    CHECK(part.m_offset == received);
    CHECK(fetch(second, assembly, "") > 0);
    CHECK(assembly.take()->m_bytes == text);
}

TEST_CASE("a peer that lost the encoding begins anew")
{
    std::string const text = make_text(100'000, 1);
    std::string const other = make_text(100'000, 2);
    document_source first(unlimited);
    document_source second(unlimited);
    first.set_newest(make_document(1, text));
    second.set_newest(make_document(2, other));
    document_assembly assembly;
    assembly.add(first.next_part(assembly.next_request(""), 0ms, start), "",
                 start);
    CHECK(fetch(second, assembly, "") > 1);
    CHECK(assembly.take()->m_bytes == other);
}

TEST_CASE("parts that do not fit are rejected")
{
    // Guards against memory that a faulty peer fills, and documents that it
    // mixes.
    document_source source(unlimited);
    source.set_newest(make_document(1, make_text(100'000)));
    document_assembly assembly;
    document_part const good =
        source.next_part(assembly.next_request(""), 0ms, start);
    using progress = document_assembly::progress;
    auto const add = [&](std::function<void(document_part&)> const& change)
    {
        document_part part = good;
        change(part);
        document_assembly fresh;
        return fresh.add(part, "", start);
    };
    CHECK(add([](document_part&) {}) == progress::more);
    CHECK(add([](document_part& part) { part.m_offset = 1; }) ==
          progress::rejected);
    CHECK(add([](document_part& part)
              { part.m_size = max_document_size + 1; }) == progress::rejected);
    CHECK(add([](document_part& part) { part.m_encoded_size = 1; }) ==
          progress::rejected);
    CHECK(add([](document_part& part) { part.m_base = 7; }) ==
          progress::rejected);
    CHECK(add([](document_part& part) { part.m_bytes.clear(); }) ==
          progress::rejected);
    CHECK(assembly.add(good, "", start) == progress::more);
    document_part next =
        source.next_part(assembly.next_request(""), 0ms, start);
    next.m_encoded_size += 1;
    CHECK(assembly.add(next, "", start) == progress::rejected);
    CHECK(assembly.received() == 0);
}

TEST_CASE("bytes that hold no document are noticed")
{
    std::string const text = make_text(1000);
    std::string bytes = encode_document(text, "");
    CHECK(decode_document(bytes, "", text.size()) == text);
    CHECK_FALSE(decode_document(bytes, "", text.size() + 1));
    CHECK_FALSE(decode_document(bytes, "", max_document_size + 1));
    CHECK_FALSE(decode_document(bytes.substr(0, 100), "", text.size()));
    CHECK_FALSE(decode_document("", "", text.size()));
}

TEST_CASE("what is kept for transfers has a bound")
{
    document_source source(1'000'000);
    for (std::uint64_t revision = 1; revision < 40; ++revision)
    {
        source.set_newest(
            make_document(revision, make_text(300'000, revision)));
        source.next_part(document_request(), 0ms, start);
    }
    // The first document is gone: its reader gets the newest one whole.
    document_request request;
    request.m_known = digest_of_document(make_text(300'000, 1));
    CHECK(source.next_part(request, 0ms, start).m_base == 0);
    request.m_known = digest_of_document(make_text(300'000, 39));
    CHECK(source.next_part(request, 0ms, start).m_base == request.m_known);
}

TEST_CASE("without a document there is no part")
{
    document_source source(unlimited);
    CHECK(source.next_part(document_request(), 0ms, start).m_encoded_size == 0);
}
