/** @file Messages to confirm the holder of a lease. */
#pragma once

#include <daisylead/base/id_type.hpp>
#include <daisylead/base/unit_type.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace daisylead::lease
{

/** A lease as written to its row. */
struct lease_claim
{
    std::string m_row;    ///< name of the row
    fence_number m_fence; ///< fencing token, grows with each acquisition
    std::string m_token;  ///< unique for each acquisition; empty: free
    instance_id m_holder; ///< instance that holds it; empty: free

    bool operator==(lease_claim const&) const = default;
};

/** Asks an instance to confirm the sender as holder of rows, and to confirm no
 *  other instance for the lease time plus margin. An instance that has started
 *  sends it without claims to learn the leases that its peers know. */
struct lease_confirm_request
{
    instance_id m_sender;              ///< holder
    incarnation m_incarnation;         ///< its incarnation
    std::uint64_t m_round = 0;         ///< echoed in the reply
    std::vector<lease_claim> m_claims; ///< leases to confirm
    bool m_want_known = false;         ///< the reply shall fill m_known
};

/** Answer to a lease_confirm_request. */
struct lease_confirm_reply
{
    instance_id m_sender;                 ///< instance that confirms
    incarnation m_incarnation;            ///< its incarnation
    std::uint64_t m_round = 0;            ///< of the request
    std::vector<std::string> m_confirmed; ///< rows that are confirmed
    bool m_informed = false; ///< sender knows the newest lease of each row
    std::vector<lease_claim> m_known; ///< newest leases, if asked for
};

} // namespace daisylead::lease
