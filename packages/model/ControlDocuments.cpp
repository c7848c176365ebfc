#include "model/ControlDocuments.h"

namespace fulmarway {

std::string_view
ToString(ReplyOutcome aOutcome)
{
  switch (aOutcome) {
    case ReplyOutcome::kAccepted:
      return "accepted";
    case ReplyOutcome::kConflict:
      return "conflict";
    case ReplyOutcome::kRejected:
      return "rejected";
    case ReplyOutcome::kUnknown:
      return "unknown";
    case ReplyOutcome::kUnavailable:
      return "unavailable";
    case ReplyOutcome::kInvalid:
      return "invalid";
  }
  return "unknown";
}

ReplyOutcome
ReplyOutcomeOf(CommandOutcome aOutcome)
{
  switch (aOutcome) {
    case CommandOutcome::kAccepted:
      return ReplyOutcome::kAccepted;
    case CommandOutcome::kConflict:
      return ReplyOutcome::kConflict;
    case CommandOutcome::kRejected:
      return ReplyOutcome::kRejected;
  }
  return ReplyOutcome::kUnknown;
}

AuditLine
AuditLineOf(const AuditEntry& aEntry)
{
  const CommandRecord& record = aEntry.record_;
  return { record.wallTimeMs_,   record.id_,
           record.operatorName_, FormatCommand(record.command_),
           aEntry.outcome_,      aEntry.version_,
           aEntry.offset_,       aEntry.detail_ };
}

} // namespace fulmarway
