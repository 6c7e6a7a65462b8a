/** @file Compression of documents. */
#include <daisylead/serving/document_encoding_func.hpp>

#include <daisylead/base/error_type.hpp>

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace daisylead::serving
{

namespace
{

/** Compresses some hundred megabytes a second. */
constexpr int compression_level = 3;

/** Smallest window that the library takes, as a power of two. */
constexpr int min_window_bits = 10;

/** The largest one that a reader accepts. */
constexpr int max_window_bits = 26;

/** @return bits of a window that holds the document and its base, as
 *          differences refer to any place of both. */
int window_bits(std::size_t document, std::size_t base)
{
    return std::clamp(static_cast<int>(std::bit_width(document + base)),
                      min_window_bits, max_window_bits);
}

void check(std::size_t result)
{
    if (ZSTD_isError(result) != 0)
    {
        throw error(std::string("cannot compress a document: ") +
                    ZSTD_getErrorName(result));
    }
}

} // namespace

std::uint64_t digest_of_document(std::string const& bytes)
{
    return std::max<std::uint64_t>(1, XXH64(bytes.data(), bytes.size(), 0));
}

std::string encode_document(std::string const& document,
                            std::string const& base)
{
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> const context(
        ZSTD_createCCtx(), &ZSTD_freeCCtx);
    check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                                 compression_level));
    check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                                 window_bits(document.size(), base.size())));
    if (!base.empty())
    {
        // Finds what moved far, which the usual search of this level does not.
        check(ZSTD_CCtx_setParameter(context.get(),
                                     ZSTD_c_enableLongDistanceMatching, 1));
        check(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    }
    std::string bytes(ZSTD_compressBound(document.size()), '\0');
    std::size_t const size =
        ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                       document.data(), document.size());
    check(size);
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

std::optional<std::string> decode_document(std::string const& bytes,
                                           std::string const& base,
                                           std::size_t size)
{
    if (size > max_document_size)
    {
        return std::nullopt;
    }
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> const context(
        ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_bits);
    if (!base.empty())
    {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string document(size, '\0');
    std::size_t const result =
        ZSTD_decompressDCtx(context.get(), document.data(), document.size(),
                            bytes.data(), bytes.size());
    if (ZSTD_isError(result) != 0 || result != size)
    {
        return std::nullopt;
    }
    return document;
}

} // namespace daisylead::serving
