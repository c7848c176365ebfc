#include "node/AdminApi.h"

#include "ctl/Parser.h"
#include "model/Number.h"
#include "node/AdminDocuments.h"
#include "wire/ControlJson.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>

namespace fulmarway {

namespace {

constexpr std::string_view kControlPrefix = "/control/v1/";
constexpr std::string_view kCommandPath = "/control/v1/command";
constexpr std::uint64_t kDefaultAuditEntries = 20;
constexpr std::array<std::string_view, 10> kDocuments = {
  "services", "members", "config", "shed", "load", "spill", "audit", "why", "command", "inforce",
};

AdminReply
ErrorReply(std::uint16_t aStatus, const std::string& aMessage)
{
  return { aStatus, "application/json", ToJson(ErrorDocument{ aMessage }) };
}

template<typename Document>
AdminReply
DocumentReply(const Document& aDocument)
{
  return { 200, "application/json", ToJson(aDocument) };
}

std::string
QueryValue(const Poco::URI& aUri, const std::string& aName)
{
  for (const auto& [name, value] : aUri.getQueryParameters()) {
    if (name == aName) {
      return value;
    }
  }
  return "";
}

/** Reply to GET /readyz: 200 when the node can serve callers, else 503 with the reason. */
AdminReply
ReadinessReply(const NodeState& aState)
{
  std::string problem;
  if (ConfigOf(aState).version_ == 0) {
    problem = "no configuration";
  } else if (aState.settings_.usesStore_) {
    // While the local backend server is down, requests are routed to other nodes.
    problem = aState.lifecycle_.stopRequested_ ? "stopping" : "";
  } else if (!aState.lifecycle_.backendHealthy_) {
    problem = "backend server does not answer";
  } else if (IsDraining(aState)) {
    problem = "draining";
  }
  return problem.empty() ? AdminReply{ 200, "text/plain", "ready\n" }
                         : AdminReply{ 503, "text/plain", "not ready: " + problem + "\n" };
}

AdminResult
HandlePostCommand(ExchangeId aExchange, const std::string& aBody)
{
  const auto request = ParseCommandRequest(aBody);
  if (!request) {
    return ErrorReply(400, request.error().subject_ + ": " + request.error().message_);
  }
  const auto command = ParseCommand(request->text_);
  if (!command) {
    return ErrorReply(400, RenderSyntaxError(command.error(), "command"));
  }
  return EventBody{ CommandArrived{
    aExchange, request->commandId_, request->operator_, request->baseVersion_, *command } };
}

AdminReply
HandleGetCommand(const NodeState& aState, const Poco::URI& aUri)
{
  const auto id = ParseHex64(QueryValue(aUri, "id"));
  if (!id) {
    return ErrorReply(400, "id: expected 1 to 16 hexadecimal digits");
  }
  return DocumentReply(FindCommandReply(aState, CommandId{ *id }));
}

AdminReply
HandleGetAudit(const NodeState& aState, const Poco::URI& aUri)
{
  const std::string last = QueryValue(aUri, "last");
  const auto count = last.empty() ? kDefaultAuditEntries : ParseNumber(last);
  if (!count) {
    return ErrorReply(400, "last: expected a number");
  }
  return DocumentReply(MakeAuditDocument(aState, *count));
}

AdminReply
HandleGetWhy(const NodeState& aState, const Poco::URI& aUri)
{
  const std::string rootRequestId = QueryValue(aUri, "click");
  if (rootRequestId.empty()) {
    return ErrorReply(400, "click: expected the id of a root request");
  }
  return DocumentReply(MakeWhyDocument(aState, rootRequestId));
}

AdminResult
HandleGetInForce(ExchangeId aExchange, const Poco::URI& aUri)
{
  const auto version = ParseNumber(QueryValue(aUri, "version"));
  if (!version) {
    return ErrorReply(400, "version: expected a number");
  }
  return EventBody{ InForceQueried{ aExchange, *version } };
}

AdminResult
HandleGetDocument(const NodeState& aState,
                  const LoopCounters& aLoop,
                  ExchangeId aExchange,
                  const std::string& aName,
                  const Poco::URI& aUri)
{
  if (aName == "services") {
    return DocumentReply(MakeServicesDocument(aState));
  }
  if (aName == "members") {
    return DocumentReply(MakeMembersDocument(aState));
  }
  if (aName == "config") {
    return DocumentReply(MakeConfigDocument(aState));
  }
  if (aName == "shed") {
    return DocumentReply(MakeShedDocument(aState));
  }
  if (aName == "load") {
    return DocumentReply(MakeLoadDocument(aState, aLoop.callerConnections_));
  }
  if (aName == "spill") {
    return DocumentReply(MakeSpillDocument(aState));
  }
  if (aName == "audit") {
    return HandleGetAudit(aState, aUri);
  }
  if (aName == "why") {
    return HandleGetWhy(aState, aUri);
  }
  if (aName == "command") {
    return HandleGetCommand(aState, aUri);
  }
  return HandleGetInForce(aExchange, aUri);
}

/** Whether the path exists for any method. */
bool
IsKnownPath(const std::string& aPath)
{
  if (aPath == "/metrics" || aPath == "/healthz" || aPath == "/readyz") {
    return true;
  }
  return aPath.compare(0, kControlPrefix.size(), kControlPrefix) == 0 &&
         std::find(kDocuments.begin(), kDocuments.end(), aPath.substr(kControlPrefix.size())) !=
           kDocuments.end();
}

AdminReply
WrongMethodReply(const std::string& aPath, const std::string& aAllow)
{
  AdminReply reply = ErrorReply(405, aPath + ": expected " + aAllow);
  reply.allow_ = aAllow;
  return reply;
}

AdminResult
HandleGet(const NodeState& aState,
          const LoopCounters& aLoop,
          ExchangeId aExchange,
          const Poco::URI& aUri)
{
  const std::string& path = aUri.getPath();
  if (path == "/metrics") {
    return AdminReply{ 200, "text/plain; version=0.0.4", RenderMetrics(aState, aLoop) };
  }
  if (path == "/healthz") {
    return AdminReply{ 200, "text/plain", "ok\n" };
  }
  if (path == "/readyz") {
    return ReadinessReply(aState);
  }
  return HandleGetDocument(aState, aLoop, aExchange, path.substr(kControlPrefix.size()), aUri);
}

} // namespace

AdminResult
HandleAdminRequest(const NodeState& aState,
                   const LoopCounters& aLoop,
                   ExchangeId aExchange,
                   const HttpRequestMessage& aMessage)
{
  try {
    const Poco::URI uri(aMessage.head_.getURI());
    const std::string& path = uri.getPath();
    const std::string& method = aMessage.head_.getMethod();
    if (!IsKnownPath(path)) {
      return ErrorReply(404, path + ": not found");
    }
    const bool takesPost = path == kCommandPath;
    if (takesPost && method == Poco::Net::HTTPRequest::HTTP_POST) {
      return HandlePostCommand(aExchange, aMessage.body_);
    }
    if (method != Poco::Net::HTTPRequest::HTTP_GET) {
      return WrongMethodReply(path, takesPost ? "GET, POST" : "GET");
    }
    return HandleGet(aState, aLoop, aExchange, uri);
  } catch (const Poco::Exception& error) {
    return ErrorReply(400, error.displayText());
  }
}

} // namespace fulmarway
