/** @file Compression of documents. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace daisylead::serving
{

/** Largest document that is transferred, bytes. */
constexpr std::size_t max_document_size = 16 << 20;

/** @return a digest of the content; never 0. */
std::uint64_t digest_of_document(std::string const& bytes);

/** @param base document that the reader has as well; may be empty
 *  @return the document, compressed, as differences to the base if there is
 *          one
 *  @throws error if the library fails */
std::string encode_document(std::string const& document,
                            std::string const& base);

/** @param base as in encode_document()
 *  @param size of the document, bytes
 *  @return the document, or nothing if the bytes do not hold one of that size
 */
std::optional<std::string> decode_document(std::string const& bytes,
                                           std::string const& base,
                                           std::size_t size);

} // namespace daisylead::serving
