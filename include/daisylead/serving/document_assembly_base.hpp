/** @file Puts a document together from its parts. */
#pragma once

#include <daisylead/base/unit_type.hpp>
#include <daisylead/serving/document_transfer_type.hpp>

#include <optional>
#include <string>

namespace daisylead::serving
{

/** Parts of one document, which may come from several peers. */
class document_assembly
{
public:
    /** State after a part. */
    enum class progress
    {
        more,     ///< further parts are missing
        complete, ///< the document can be taken
        rejected  ///< the part does not fit; all parts are dropped
    };

    /** @param known the document that this instance has; may be empty
     *  @return the request for the next part */
    document_request next_request(std::string const& known) const;

    /** Adds the answer to the last request. A part of another encoding replaces
     *  what was there, as the peer no longer has the former one.
     *  @param known as given for that request
     *  @param sent_at when that request was sent */
    progress add(document_part const& part, std::string const& known,
                 time_point sent_at);

    /** @return the document, and an empty assembly is left; nothing if the
     *          bytes do not hold it. @pre add() returned complete */
    std::optional<document> take();

    /** @return when the document was known to be the newest one; nothing if the
     *          peer did not tell. */
    std::optional<time_point> read_at() const
    {
        return m_read_at;
    }

    /** @return bytes received, encoded. */
    std::size_t received() const
    {
        return m_bytes.size();
    }

    /** @return the document in progress. */
    document_state const& target() const
    {
        return m_first.m_state;
    }

    void clear();

private:
    document_part m_first; ///< without its bytes
    std::string m_base;    ///< document that the parts are a difference to
    std::string m_bytes;
    std::optional<time_point> m_read_at;
};

} // namespace daisylead::serving
