/** \file
 * Builds the documents of the admin interface from the state of the node.
 */
#pragma once

#include "model/ControlDocuments.h"
#include "policy/NodeState.h"

namespace fulmarway {

ServicesDocument
MakeServicesDocument(const NodeState& aState);

MembersDocument
MakeMembersDocument(const NodeState& aState);

ConfigDocument
MakeConfigDocument(const NodeState& aState);

ShedDocument
MakeShedDocument(const NodeState& aState);

SpillDocument
MakeSpillDocument(const NodeState& aState);

LoadDocument
MakeLoadDocument(const NodeState& aState, std::size_t aConnections);

AuditDocument
MakeAuditDocument(const NodeState& aState, std::size_t aLast);

WhyDocument
MakeWhyDocument(const NodeState& aState, const std::string& aRootRequestId);

/** The outcome of an earlier command; kUnknown when the audit trail does not contain it. */
CommandReply
FindCommandReply(const NodeState& aState, CommandId aId);

} // namespace fulmarway
