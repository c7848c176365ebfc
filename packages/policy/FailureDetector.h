/** \file
 * Probes inside the failure domain, probes of seeds, of announced and of dead nodes, and the check
 * whether the other failure domains can be reached.
 */
#pragma once

#include "policy/MemberTable.h"

namespace fulmarway {

void
HandleProbe(MembershipTurn& aTurn, const GossipMessage& aMessage, const Probe& aBody);

void
HandleProbeAck(MembershipTurn& aTurn, const GossipMessage& aMessage, const ProbeAck& aBody);

void
HandleProbeRequest(MembershipTurn& aTurn, const GossipMessage& aMessage, const ProbeRequest& aBody);

/** Sends a member that is held suspect or dead its record, so that it refutes it; at most once a
 * probe interval. */
void
RemindOfRecord(MembershipTurn& aTurn, MemberEntry& aEntry);

/** After a pause of this process every timer has run out without anybody having had a chance to
 * answer; starts them again. */
void
RestartTimers(MembershipTurn& aTurn);

/** Sends the probes that are due and suspects members that did not answer. */
void
AdvanceProbes(MembershipTurn& aTurn);

/** Follows whether this node is a delegate and which failure domains it can reach. */
void
AdvanceReach(MembershipTurn& aTurn);

} // namespace fulmarway
