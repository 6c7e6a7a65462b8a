/** @file Hands documents out in parts. */
#pragma once

#include <daisylead/base/unit_type.hpp>
#include <daisylead/serving/document_transfer_type.hpp>

#include <deque>
#include <list>
#include <memory>

namespace daisylead::serving
{

/** Keeps the newest documents, and what peers have begun to fetch of them, so
 *  that a transfer goes on after a change of the document and the next one
 *  needs to carry differences only. */
class document_source
{
public:
    /** @param max_kept bytes of all that is kept; the newest document and its
     *         encodings are kept in any case */
    explicit document_source(std::size_t max_kept);

    /** Sets the newest document. */
    void set_newest(std::shared_ptr<document const> newest);

    /** @param newest_age since the newest document was known to be the newest
     *         one
     *  @return the next part; without bytes if there is no document
     *  @throws error if a document cannot be compressed */
    document_part next_part(document_request const& request,
                            std::optional<duration> newest_age, time_point now);

private:
    struct kept_document
    {
        std::shared_ptr<document const> m_document;
        std::uint64_t m_digest = 0;
    };

    struct encoding
    {
        kept_document m_target;
        std::uint64_t m_base = 0; ///< digest of that document; 0: none
        std::uint64_t m_digest = 0;
        std::string m_bytes;
        time_point m_used_at; ///< by the last request
    };

    encoding& find_encoding(document_request const& request, time_point now);
    std::shared_ptr<document const> find_base(std::uint64_t digest) const;
    void drop_unused(time_point now);
    std::size_t kept_bytes() const;

    std::size_t m_max_kept;
    std::deque<kept_document> m_documents; ///< newest first
    std::list<encoding> m_encodings;       ///< last used first
};

} // namespace daisylead::serving
