/** \file
 * Anti-entropy: reconciles the member tables of two nodes. Nodes compare digests first, then
 * summaries of the failure domains that differ, and send only the records that differ.
 *
 * A DigestExchange holds one of these lists:
 * - One entry with an empty domain: the hash over all records. If the receiver's hash differs, it
 *   replies with its hashes by domain.
 * - Hashes by domain. For domains that differ the receiver sends its summaries and requests the
 *   sender's with the entry "?" + domain. For a large domain it sends hashes by bucket instead.
 * - Hashes by bucket: "#", one hexadecimal digit, domain. For buckets that differ the receiver
 *   sends its summaries and requests the sender's with the entry "?" + bucket.
 * - The entry "!" and, for each domain that the sender cannot reach, "!" + domain with its
 *   reachability (MemberState) as hash. Accepted only from delegates of the local domain.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

/** Sends the hash over all records, which starts a reconciliation. */
void
SendDigest(MembershipContext& aContext, const std::string& aAddress);

/** Whether a member of the domain sent a digest equal to the local one within aWithin before now
 * and the local table still has this digest. A digest in one direction is enough, because digests
 * in both directions compare the same two tables. */
bool
HasAgreed(const MembershipContext& aContext, const DomainReachability& aDomain, Duration aWithin);

/** Sends a member of the local domain the list of unreachable domains. */
void
SendReachability(MembershipContext& aContext, const std::string& aAddress);

void
HandleDigests(MembershipContext& aContext,
              const GossipMessage& aMessage,
              const DigestExchange& aBody);

void
HandleSummaries(MembershipContext& aContext,
                const GossipMessage& aMessage,
                const SummaryExchange& aBody);

void
HandleRecordsRequest(MembershipContext& aContext,
                     const GossipMessage& aMessage,
                     const RecordsRequest& aBody);

} // namespace fulmarway
