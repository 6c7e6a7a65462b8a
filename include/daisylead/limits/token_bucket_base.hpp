/** @file Token bucket with reservations and refunds. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace daisylead::limits
{

/** Maximum fraction by which the clock rates of two instances differ. */
constexpr double clock_drift = 0.01;

/** Refill rate and capacity of a bucket. */
struct bucket_limit
{
    double m_rate = 0;  ///< tokens per second
    double m_burst = 0; ///< tokens

    bool operator==(bucket_limit const&) const = default;
};

/** Sequence number of a change of one bucket; see token_bucket::confirm(). */
using bucket_sequence = std::uint64_t;

/** A token bucket with two-phase consumption: tokens are reserved first and
 *  confirmed once they are used. The burst is the sum of the level, the pending
 *  reservations and the used tokens that are not refilled yet, so the level
 *  plus the tokens that earlier reservations may still use never exceeds the
 *  burst. The tokens used in a window of length t are therefore at most burst +
 *  rate * t, although a reservation is used later than it was made.
 *
 *  A refund raises the level at most to what it would be if the tokens had
 *  never been reserved. If the bucket was full in between, a larger refund
 *  would allow a second burst. */
class token_bucket
{
public:
    /** Creates an empty bucket.
     *  @param now time from which it refills */
    token_bucket(bucket_limit limit, time_point now);

    /** Refills up to this time; earlier times have no effect. */
    void advance(time_point now);

    /** Changes the limit. The level does not rise.
     *  @pre advance() was called for the present time */
    void set_limit(bucket_limit limit);

    /** @return tokens that can be reserved; negative after the burst was
     * reduced */
    double level() const;

    /** Reserves tokens. @pre tokens <= level() */
    void reserve(double tokens);

    /** Treats the whole burst as reserved, for reservations of a previous owner
     *  that are not known here. */
    void reserve_everything();

    /** Marks reserved tokens as used.
     *  @return sequence number for a later refund */
    bucket_sequence confirm(double tokens);

    /** Releases reserved tokens that will never be used. */
    void cancel(double tokens);

    /** Returns confirmed tokens that were not used.
     *  @param sequence result of confirm()
     *  @return tokens by which the level rose */
    double refund(double tokens, bucket_sequence sequence);

    /** Charges tokens that were used without a reservation. */
    void charge(double tokens);

    /** @return time until the level reaches this many tokens, or the burst if
     *  that is less, provided that none are taken; zero if it has them now */
    duration time_until(double tokens) const;

    bucket_limit const& limit() const
    {
        return m_limit;
    }

private:
    /** Minimum of token_bucket::m_used between the previous entry and this. */
    struct used_minimum
    {
        bucket_sequence m_sequence; ///< last change that it covers
        double m_used;              ///< tokens
    };

    void record_used();
    /** @return minimum of m_used since that change */
    double min_used_since(bucket_sequence sequence) const;
    /** Lowers the minima since that change after a refund. */
    void reduce_minima_since(bucket_sequence sequence, double tokens);

    bucket_limit m_limit;
    time_point m_updated_at;
    double m_used;        ///< used and not yet refilled
    double m_pending = 0; ///< reserved and not confirmed
    bucket_sequence m_next_sequence = 0;
    std::vector<used_minimum>
        m_used_minima; ///< strictly increasing in both members
};

} // namespace daisylead::limits
