/** @file Puts a document together from its parts. */
#include <daisylead/serving/document_assembly_base.hpp>

#include <daisylead/serving/document_encoding_func.hpp>

#include <algorithm>
#include <utility>

namespace daisylead::serving
{

document_request document_assembly::next_request(std::string const& known) const
{
    document_request request;
    request.m_known = known.empty() ? 0 : digest_of_document(known);
    request.m_encoding = m_first.m_encoding;
    request.m_offset = m_bytes.size();
    return request;
}

document_assembly::progress document_assembly::add(document_part const& part,
                                                   std::string const& known,
                                                   time_point sent_at)
{
    if (part.m_encoding != m_first.m_encoding)
    {
        clear();
        m_first = part;
        m_first.m_bytes.clear();
        if (part.m_base != 0)
        {
            m_base = known;
        }
    }
    bool const is_known_base =
        part.m_base == 0 || digest_of_document(m_base) == part.m_base;
    bool const fits =
        part.m_offset == m_bytes.size() && part.m_size == m_first.m_size &&
        part.m_encoded_size == m_first.m_encoded_size &&
        part.m_size <= max_document_size &&
        part.m_encoded_size <= 2 * max_document_size &&
        part.m_offset <= part.m_encoded_size &&
        part.m_bytes.size() <= part.m_encoded_size - part.m_offset;
    if (!fits || part.m_bytes.empty() || !is_known_base)
    {
        clear();
        return progress::rejected;
    }
    if (part.m_state.m_age_ms)
    {
        time_point const read_at =
            sent_at - std::chrono::milliseconds(*part.m_state.m_age_ms);
        m_read_at = m_read_at ? std::max(*m_read_at, read_at) : read_at;
    }
    m_bytes += part.m_bytes;
    return m_bytes.size() < part.m_encoded_size ? progress::more
                                                : progress::complete;
}

std::optional<document> document_assembly::take()
{
    std::optional<std::string> bytes =
        decode_document(m_bytes, m_base, m_first.m_size);
    std::optional<document> result;
    if (bytes)
    {
        result = document{m_first.m_state.m_revision, m_first.m_state.m_digest,
                          std::move(*bytes)};
    }
    clear();
    return result;
}

void document_assembly::clear()
{
    *this = document_assembly();
}

} // namespace daisylead::serving
