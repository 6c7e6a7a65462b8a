/** @file Token bucket with reservations and refunds. */
#pragma once

#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace daisylead::limits
{

/** Clock rates of two instances differ by at most this fraction. */
constexpr double clock_drift = 0.01;

/** Limit of a bucket. */
struct bucket_limit
{
    double m_rate = 0;  ///< tokens per second
    double m_burst = 0; ///< tokens

    bool operator==(bucket_limit const&) const = default;
};

/** Order of the events of one bucket; see token_bucket::confirm(). */
using bucket_sequence = std::uint64_t;

/** A token bucket. Tokens are reserved first and confirmed once they are used.
 *  The burst is divided into the level, the pending reservations and the used
 *  tokens that are not refilled yet, so the level plus what may still be used
 *  of earlier reservations never exceeds the burst. Thus the tokens used in a
 *  window of length t are at most burst + rate * t, although a reservation is
 *  used later than it was made.
 *
 *  A refund restores the level to what it would be if the tokens had never been
 *  reserved, and no further: where the bucket was full meanwhile, the refund
 *  would allow a second burst. */
class token_bucket
{
public:
    /** Starts empty.
     *  @param now time from which it refills */
    token_bucket(bucket_limit limit, time_point now);

    /** Refills up to this time; earlier times have no effect. */
    void advance(time_point now);

    /** Changes the limit after advance(). The level does not rise. */
    void set_limit(bucket_limit limit);

    /** @return tokens that can be reserved; negative after a reduction. */
    double level() const;

    /** Reserves tokens. @pre tokens <= level() */
    void reserve(double tokens);

    /** Treats the whole bucket as reserved by somebody unknown. */
    void reserve_everything();

    /** Reserved tokens are used.
     *  @return sequence for a later refund */
    bucket_sequence confirm(double tokens);

    /** Reserved tokens will never be used. */
    void cancel(double tokens);

    /** Confirmed tokens were not used after all.
     *  @param sequence result of confirm()
     *  @return tokens by which the level rose */
    double refund(double tokens, bucket_sequence sequence);

    /** Tokens were used without a reservation. */
    void charge(double tokens);

    /** @return time until the level reaches this many tokens, or the whole
     *  burst if that is less, provided nobody takes any; zero if it has. */
    duration time_until(double tokens) const;

    bucket_limit const& limit() const
    {
        return m_limit;
    }

private:
    /** Least value of m_used between the previous entry and this one. */
    struct used_minimum
    {
        bucket_sequence m_sequence; ///< when it was noted
        double m_used;              ///< tokens
    };

    void record_used();
    double min_used_since(bucket_sequence sequence) const;
    void reduce_minima_since(bucket_sequence sequence, double tokens);

    bucket_limit m_limit;
    time_point m_updated_at;
    double m_used;        ///< used and not refilled yet
    double m_pending = 0; ///< reserved and not confirmed
    bucket_sequence m_next_sequence = 0;
    std::vector<used_minimum> m_used_minima; ///< both members strictly grow
};

} // namespace daisylead::limits
