/** \file
 * In-memory fake of the nodes' admin interface. Commands pass through the real parser and
 * configuration fold; most documents are fixed samples. Time is simulated.
 */
#pragma once

#include "ctl/Client.h"
#include "ctl/Parser.h"
#include "policy/ConfigFold.h"
#include "wire/ControlJson.h"

#include <set>
#include <string>
#include <vector>

namespace fulmarway::test {

/** Nodes that share one log, with injected faults by node address. */
struct FakeCluster
{
  /** Addresses of nodes that refuse connections. */
  std::set<std::string> refusingNodes_;
  /** Nodes whose replies are lost; their commands take effect. */
  std::set<std::string> replyLosingNodes_;
  /** Nodes that neither execute a command nor reply. */
  std::set<std::string> silentNodes_;
  /** Nodes that cannot append to the log. */
  std::set<std::string> noAppendNodes_;
  /** Nodes that have not read the log and find no command in it. */
  std::set<std::string> laggingNodes_;
  ConfigState state_;
  Instant now_{};
  std::vector<std::string> requests_;
  std::uint64_t lastCommandId_ = 0x100;
};

inline CommandReply
MakeCommandReply(const FakeCluster& aCluster, const std::string& aNode, CommandId aId)
{
  const AuditEntry* entry =
    aCluster.laggingNodes_.contains(aNode) ? nullptr : FindCommand(aCluster.state_, aId);
  if (entry == nullptr) {
    return { ReplyOutcome::kUnknown, aCluster.state_.config_.version_, 0, "no such command" };
  }
  return { ReplyOutcomeOf(entry->outcome_), entry->version_, entry->offset_, entry->detail_ };
}

inline HttpReply
ApplyCommand(FakeCluster& aCluster, const std::string& aNode, const std::string& aBody)
{
  const auto request = ParseCommandRequest(aBody);
  const auto command = request ? ParseCommand(request->text_) : tl::unexpected(SyntaxError{});
  if (!command) {
    return { 400, ToJson(ErrorDocument{ "invalid command" }) };
  }
  if (aCluster.noAppendNodes_.contains(aNode)) {
    return { 200, ToJson(CommandReply{ ReplyOutcome::kUnavailable, 0, 0, "log service is down" }) };
  }
  const std::uint64_t base =
    request->baseVersion_ == 0 ? aCluster.state_.config_.version_ : request->baseVersion_;
  const std::uint64_t wallTimeMs = 1796000000000 + aCluster.state_.nextOffset_ * 1500;
  const CommandRecord record{ request->commandId_, request->operator_, base, wallTimeMs, *command };
  aCluster.state_ =
    ApplyRecord(std::move(aCluster.state_), { aCluster.state_.nextOffset_, record }).state_;
  return { 200, ToJson(MakeCommandReply(aCluster, aNode, request->commandId_)) };
}

inline ServicesDocument
ServicesOf(const FakeCluster& aCluster)
{
  ServicesDocument document{ aCluster.state_.config_.version_, {} };
  for (const auto& [name, service] : aCluster.state_.config_.services_) {
    document.services_.push_back(service);
  }
  return document;
}

inline ConfigDocument
ConfigOf(const FakeCluster& aCluster)
{
  const auto& drained = aCluster.state_.config_.drained_;
  return { aCluster.state_.config_.version_,
           aCluster.state_.nextOffset_,
           true,
           { drained.begin(), drained.end() } };
}

inline AuditDocument
AuditOf(const FakeCluster& aCluster)
{
  AuditDocument document;
  for (const AuditEntry& entry : aCluster.state_.audit_) {
    document.entries_.push_back(AuditLineOf(entry));
  }
  return document;
}

inline MembersDocument
SampleMembers()
{
  return {
    { { { 0x1f }, "10.0.1.1:7000", "pricing", "colombo-a", "west", MemberState::kAlive, 4 },
      { { 0x2e }, "10.0.2.1:7000", "dispatch", "colombo-b", "west", MemberState::kDraining, 4 },
      { { 0x3d }, "10.0.3.1:7000", "accounts", "negombo", "west", MemberState::kSuspect, 3 } }
  };
}

inline ShedDocument
SampleShed()
{
  return { { 130 },
           11,
           { { "dispatch", "list", Importance::kNormal, Reason::kShedByLevel, 1042, "inbound" },
             { "dispatch", "list", Importance::kNormal, Reason::kShedByLevel, 17, "outbound" },
             { "dispatch", "list", Importance::kNormal, Reason::kCancelled, 2, "inbound" },
             { "dispatch", "confirm", Importance::kCritical, Reason::kTicketNeeded, 5, "outbound" },
             { "dispatch", "confirm", Importance::kCritical, Reason::kDeadline, 3, "inbound" } } };
}

inline WhyDocument
SampleWhy(const std::string& aRootRequestId)
{
  return { aRootRequestId,
           { { 0, "dispatch", "confirm", Verdict::kNotRun, Reason::kShedByQueue, "10.0.2.1:7000" },
             { 12345, "dispatch", "confirm", Verdict::kRan, Reason::kNone, "10.0.2.2:7000" } } };
}

inline InForceDocument
SampleInForce(const FakeCluster& aCluster, std::uint64_t aVersion)
{
  const bool isInEffect = aVersion <= aCluster.state_.config_.version_;
  return { aVersion,
           { { "colombo-a", 3, isInEffect ? 3U : 2U, true },
             { "colombo-b", 3, 3, true },
             { "negombo", 4, 0, false } } };
}

inline HttpReply
GetDocument(const FakeCluster& aCluster, const std::string& aNode, const std::string& aPath)
{
  const std::string_view path = aPath;
  const auto argument = [path] { return std::string(path.substr(path.find('=') + 1)); };
  if (path.starts_with("/control/v1/command?id=")) {
    return { 200, ToJson(MakeCommandReply(aCluster, aNode, CommandId{ *ParseHex64(argument()) })) };
  }
  if (path == "/control/v1/services") {
    return { 200, ToJson(ServicesOf(aCluster)) };
  }
  if (path == "/control/v1/members") {
    return { 200, ToJson(SampleMembers()) };
  }
  if (path == "/control/v1/config") {
    return { 200, ToJson(ConfigOf(aCluster)) };
  }
  if (path == "/control/v1/shed") {
    return { 200, ToJson(SampleShed()) };
  }
  if (path == "/control/v1/load") {
    return { 200, ToJson(LoadDocument{ 11, 11, 4, { 128 }, 212, 96 }) };
  }
  if (path.starts_with("/control/v1/audit?last=")) {
    return { 200, ToJson(AuditOf(aCluster)) };
  }
  if (path.starts_with("/control/v1/why?click=")) {
    return { 200, ToJson(SampleWhy(argument())) };
  }
  if (path.starts_with("/control/v1/inforce?version=")) {
    return { 200, ToJson(SampleInForce(aCluster, std::stoull(argument()))) };
  }
  return { 404, ToJson(ErrorDocument{ "unknown path" }) };
}

inline ClientEnvironment
MakeEnvironment(FakeCluster& aCluster)
{
  ClientEnvironment environment;
  environment.now_ = [&aCluster] { return aCluster.now_; };
  environment.sleep_ = [&aCluster](Duration aDuration) { aCluster.now_ += aDuration; };
  environment.random_ = [&aCluster] { return ++aCluster.lastCommandId_; };
  environment.transport_ = [&aCluster](const std::string& aNode,
                                       const HttpRequest& aRequest,
                                       Duration) -> tl::expected<HttpReply, TransportError> {
    aCluster.requests_.push_back(aNode + ' ' + aRequest.method_ + ' ' + aRequest.path_);
    if (aCluster.refusingNodes_.contains(aNode)) {
      return tl::unexpected(
        TransportError{ TransportErrorCode::kNotConnected, "connection refused" });
    }
    if (aCluster.silentNodes_.contains(aNode)) {
      return tl::unexpected(TransportError{ TransportErrorCode::kNoReply, "timeout" });
    }
    HttpReply reply = aRequest.method_ == "POST" ? ApplyCommand(aCluster, aNode, aRequest.body_)
                                                 : GetDocument(aCluster, aNode, aRequest.path_);
    if (aCluster.replyLosingNodes_.contains(aNode)) {
      return tl::unexpected(TransportError{ TransportErrorCode::kNoReply, "connection closed" });
    }
    return reply;
  };
  return environment;
}

} // namespace fulmarway::test
