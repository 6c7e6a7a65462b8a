/** @file Hands documents out in parts. */
#include <daisylead/serving/document_source_base.hpp>

#include <daisylead/serving/document_encoding_func.hpp>

#include <xxhash.h>

#include <algorithm>

namespace daisylead::serving
{

namespace
{

/** Size of a part: it takes a quarter of a second on a link of 1 Mbit/s. */
constexpr std::size_t part_size = 32768;

/** Number of documents that are kept to send differences to them. */
constexpr std::size_t max_documents = 8;

/** An encoding that no peer has asked for in this time is dropped. */
constexpr duration encoding_ttl = std::chrono::seconds(10);

} // namespace

document_source::document_source(std::size_t max_kept) : m_max_kept(max_kept) {}

void document_source::set_newest(std::shared_ptr<document const> newest)
{
    std::uint64_t const digest = digest_of_document(newest->m_bytes);
    m_documents.push_front({std::move(newest), digest});
    while (m_documents.size() > max_documents ||
           (m_documents.size() > 1 && kept_bytes() > m_max_kept))
    {
        m_documents.pop_back();
    }
}

std::size_t document_source::kept_bytes() const
{
    std::size_t bytes = 0;
    for (kept_document const& item : m_documents)
    {
        bytes += item.m_document->m_bytes.size();
    }
    for (encoding const& item : m_encodings)
    {
        bytes += item.m_bytes.size();
        // Targets that are among the documents count twice.
        bytes += item.m_target.m_document->m_bytes.size();
    }
    return bytes;
}

void document_source::drop_unused(time_point now)
{
    while (!m_encodings.empty() &&
           (now - m_encodings.back().m_used_at > encoding_ttl ||
            (m_encodings.size() > 1 && kept_bytes() > m_max_kept)))
    {
        m_encodings.pop_back();
    }
}

std::shared_ptr<document const>
document_source::find_base(std::uint64_t digest) const
{
    for (kept_document const& item : m_documents)
    {
        if (item.m_digest == digest)
        {
            return item.m_document;
        }
    }
    for (encoding const& item : m_encodings)
    {
        if (item.m_target.m_digest == digest)
        {
            return item.m_target.m_document;
        }
    }
    return nullptr;
}

document_source::encoding&
document_source::find_encoding(document_request const& request, time_point now)
{
    auto found = std::find_if(m_encodings.begin(), m_encodings.end(),
                              [&](encoding const& item) {
                                  return request.m_encoding != 0 &&
                                         item.m_digest == request.m_encoding;
                              });
    kept_document const& newest = m_documents.front();
    std::shared_ptr<document const> base;
    if (found == m_encodings.end())
    {
        base = find_base(request.m_known);
        std::uint64_t const known = base ? request.m_known : 0;
        found = std::find_if(m_encodings.begin(), m_encodings.end(),
                             [&](encoding const& item)
                             {
                                 return item.m_target.m_document ==
                                            newest.m_document &&
                                        item.m_base == known;
                             });
    }
    if (found == m_encodings.end())
    {
        encoding made{newest, base ? request.m_known : 0, 0,
                      encode_document(newest.m_document->m_bytes,
                                      base ? base->m_bytes : std::string()),
                      now};
        // The same content may come under another revision.
        made.m_digest = std::max<std::uint64_t>(
            1, XXH64(made.m_bytes.data(), made.m_bytes.size(),
                     newest.m_document->m_revision));
        found = m_encodings.insert(m_encodings.begin(), std::move(made));
    }
    m_encodings.splice(m_encodings.begin(), m_encodings, found);
    m_encodings.front().m_used_at = now;
    drop_unused(now);
    return m_encodings.front();
}

document_part document_source::next_part(document_request const& request,
                                         std::optional<duration> newest_age,
                                         time_point now)
{
    document_part part;
    if (m_documents.empty())
    {
        return part;
    }
    encoding const& source = find_encoding(request, now);
    document const& target = *source.m_target.m_document;
    part.m_state.m_revision = target.m_revision;
    part.m_state.m_digest = target.m_content_order;
    if (newest_age &&
        source.m_target.m_document == m_documents.front().m_document)
    {
        part.m_state.m_age_ms =
            std::chrono::ceil<std::chrono::milliseconds>(*newest_age).count();
    }
    part.m_base = source.m_base;
    part.m_encoding = source.m_digest;
    part.m_encoded_size = source.m_bytes.size();
    part.m_size = target.m_bytes.size();
    part.m_offset =
        source.m_digest == request.m_encoding
            ? std::min<std::uint64_t>(request.m_offset, source.m_bytes.size())
            : 0;
    part.m_bytes = source.m_bytes.substr(part.m_offset, part_size);
    return part;
}

} // namespace daisylead::serving
