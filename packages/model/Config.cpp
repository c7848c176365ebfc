#include "model/Config.h"

namespace fulmarway {

namespace {

struct SubjectVisitor
{
  std::string operator()(const DeclareService& aCommand) const
  {
    return "service " + aCommand.service_;
  }
  std::string operator()(const DeclareKind& aCommand) const
  {
    return "kind " + aCommand.service_ + '/' + aCommand.kind_.name_;
  }
  std::string operator()(const SetPriority& aCommand) const
  {
    return "kind " + aCommand.service_ + '/' + aCommand.kind_;
  }
  std::string operator()(const SetLimit& aCommand) const { return "limit " + aCommand.service_; }
  std::string operator()(const SetDrain& aCommand) const { return "node " + aCommand.peerAddress_; }
};

struct DescribeVisitor
{
  std::string operator()(const DeclareService& aCommand) const
  {
    return "declare service " + aCommand.service_ + " slots " + std::to_string(aCommand.slots_) +
           " connections " + std::to_string(aCommand.connections_) + " long-share " +
           std::to_string(aCommand.longSharePercent_);
  }
  std::string operator()(const DeclareKind& aCommand) const
  {
    const KindSpec& kind = aCommand.kind_;
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline_);
    return "declare kind " + aCommand.service_ + '/' + kind.name_ + " importance " +
           std::string(ToString(kind.importance_)) + (kind.idempotent_ ? " repeatable" : " once") +
           " attempts " + std::to_string(kind.extraAttempts_) + " deadline " +
           std::to_string(deadline.count()) + "ms" + (kind.longRunning_ ? " long" : "");
  }
  std::string operator()(const SetPriority& aCommand) const
  {
    return "set priority " + aCommand.service_ + '/' + aCommand.kind_ + ' ' +
           std::string(ToString(aCommand.importance_));
  }
  std::string operator()(const SetLimit& aCommand) const
  {
    return "set limit " + aCommand.service_ + ' ' +
           (aCommand.limit_ == 0 ? "none" : std::to_string(aCommand.limit_));
  }
  std::string operator()(const SetDrain& aCommand) const
  {
    return (aCommand.draining_ ? "drain " : "undrain ") + aCommand.peerAddress_;
  }
};

} // namespace

std::string
SubjectOf(const Command& aCommand)
{
  return std::visit(SubjectVisitor{}, aCommand);
}

std::string
FormatCommand(const Command& aCommand)
{
  return std::visit(DescribeVisitor{}, aCommand);
}

std::string_view
ToString(CommandOutcome aOutcome)
{
  switch (aOutcome) {
    case CommandOutcome::kAccepted:
      return "accepted";
    case CommandOutcome::kConflict:
      return "conflict";
    case CommandOutcome::kRejected:
      return "rejected";
  }
  return "unknown";
}

} // namespace fulmarway
