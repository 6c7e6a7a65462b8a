/** @file Messages that transfer a document between instances in parts. */
#pragma once

#include <daisylead/serving/fleet_news_type.hpp>

#include <cstdint>
#include <string>

namespace daisylead::serving
{

/** Asks a peer for the next part of its configuration. */
struct document_request
{
    /** Digest of the document that the sender has, see digest_of_document();
     *  0: none. The peer may send differences to it. */
    std::uint64_t m_known = 0;
    /** Digest of the encoded document of which the sender has some parts;
     *  0: none. */
    std::uint64_t m_encoding = 0;
    std::uint64_t m_offset = 0; ///< bytes that it has of that
};

/** A part of an encoded document. */
struct document_part
{
    /** Document that the encoding holds. No age: the sender knows a newer one
     *  by now. */
    document_state m_state;
    std::uint64_t m_base = 0; ///< document that it is a difference to; 0: none
    std::uint64_t m_encoding = 0;     ///< digest of the encoded document
    std::uint64_t m_encoded_size = 0; ///< bytes of all parts; 0: no document
    std::uint64_t m_size = 0;         ///< bytes of the document
    std::uint64_t m_offset = 0;       ///< position of m_bytes
    std::string m_bytes;              ///< this part
};

} // namespace daisylead::serving
