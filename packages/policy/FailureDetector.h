/** \file
 * Failure detection: direct and indirect probes of the peers in this node's failure domain, probes
 * of seeds, announced nodes and dead members, and the reachability of the other failure domains.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

void
HandleProbe(MembershipContext& aContext, const GossipMessage& aMessage, const Probe& aBody);

void
HandleProbeAck(MembershipContext& aContext, const GossipMessage& aMessage, const ProbeAck& aBody);

void
HandleProbeRequest(MembershipContext& aContext,
                   const GossipMessage& aMessage,
                   const ProbeRequest& aBody);

/** Sends a member its own record if this node holds it suspect or dead, so that the member can
 * refute it. Sends it at most once per probe interval. */
void
SendRecordToRefute(MembershipContext& aContext, MemberEntry& aEntry);

/** Restarts all timeouts after this process was paused. They expired during the pause, although no
 * peer had a chance to answer. */
void
RestartTimers(MembershipContext& aContext);

/** Sends the probes that are due and suspects members that did not acknowledge earlier ones. */
void
AdvanceProbes(MembershipContext& aContext);

/** Updates whether this node is a delegate. A delegate also updates the reachability of the other
 * failure domains and reports changes to its peers. */
void
AdvanceReachability(MembershipContext& aContext);

} // namespace fulmarway
