/** \file
 * Reconciliation of member tables: digests, then summaries of the failure domains that differ, then
 * records. A table is never sent whole without a difference.
 *
 * A DigestExchange holds one of these lists:
 * - one entry with an empty domain: hash over all records. A peer with another hash answers with
 *   its hashes by domain.
 * - hashes by domain. For those that differ the receiver sends its summaries and asks for the
 *   sender's with the entry "?" + domain. For a large domain it sends hashes by bucket instead.
 * - hashes by bucket: "#", one hexadecimal digit, domain. For buckets that differ the receiver
 * sends its summaries and asks for the sender's with the entry "?" + bucket.
 * - the entry "!" and, for each domain that the sender cannot reach, "!" + domain with the state
 *   (MemberState) as hash. Accepted from delegates of the own domain.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

/** Sends the hash over all records. */
void
SendDigest(MembershipTurn& aTurn, const std::string& aAddress);

/** Whether a member of the domain sent an equal digest in the time before now and the own table has
 * not changed since. The digests of both directions compare the same tables, so one is enough. */
bool
HasAgreed(const MembershipTurn& aTurn, const DomainReach& aDomain, Duration aWithin);

/** Tells a member of the own domain which domains cannot be reached. */
void
SendReach(MembershipTurn& aTurn, const std::string& aAddress);

void
HandleDigests(MembershipTurn& aTurn, const GossipMessage& aMessage, const DigestExchange& aBody);

void
HandleSummaries(MembershipTurn& aTurn, const GossipMessage& aMessage, const SummaryExchange& aBody);

void
HandleRecordsRequest(MembershipTurn& aTurn,
                     const GossipMessage& aMessage,
                     const RecordsRequest& aBody);

} // namespace fulmarway
