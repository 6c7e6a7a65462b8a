/** @file Bound on what a process holds for all of its callers together. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace daisylead::serving
{

/** Limits of a byte_budget. */
struct byte_budget_options
{
    std::size_t m_limit = 64 << 20; ///< bytes of all requests together
    /** Part of the limit that only small requests may use. */
    double m_small_share = 0.125;
    std::size_t m_small_size = 65536; ///< bytes of a small request
    /** Part of the limit that only requests without a body may use. */
    double m_bodiless_share = 0;
    std::size_t m_bodiless_size = 0; ///< bytes of a request without a body
    /** A request that was not read further for this long may have to leave. */
    duration m_stalled_after = std::chrono::seconds(1);
    /** A request whose body is not complete after this time may have to leave
     *  if no other one may; 0: never. */
    duration m_slow_after{};
};

/** Identifies a request that holds bytes. */
enum class byte_holder : std::uint64_t
{
};

/** Bytes that the requests of callers hold. A request reserves what it needs
 *  before it is read. If nothing is left, its reading pauses, and the request
 *  that is largest among those without progress has to leave, unless it is
 *  complete; if all make progress, the one that has been read for longest.
 *
 *  Designed for many callers that send nearly all of a large body and stay
 *  connected. */
class byte_budget
{
public:
    explicit byte_budget(byte_budget_options options);

    /** Adds a request that holds nothing. */
    byte_holder open(time_point now);

    /** Changes what a request holds.
     *  @return false, without a change, if that does not fit now */
    bool resize(byte_holder holder, std::size_t bytes, time_point now);

    /** Records that bytes of a request arrived, or that it waits for room. */
    void note_progress(byte_holder holder, time_point now);

    /** Records that a request was read; it cannot be made to leave any more. */
    void note_complete(byte_holder holder);

    /** Removes a request. */
    void close(byte_holder holder);

    /** @return the request that has to leave so that others can be read, if
     *          there is one. */
    std::optional<byte_holder> stalled(time_point now) const;

    /** @return whether so many bytes can ever be reserved at once. */
    bool fits(std::size_t bytes) const;

    /** @return bytes that are held. */
    std::size_t used() const
    {
        return m_used;
    }

private:
    struct holder_state
    {
        std::size_t m_bytes = 0;
        time_point m_opened_at;
        time_point m_progress_at;
        bool m_complete = false;
    };

    std::size_t limit_for(std::size_t bytes) const;
    std::optional<byte_holder> slowest(time_point now) const;

    byte_budget_options m_options;
    std::uint64_t m_last_id = 0;
    std::size_t m_used = 0;
    std::unordered_map<byte_holder, holder_state> m_holders;
};

} // namespace daisylead::serving
