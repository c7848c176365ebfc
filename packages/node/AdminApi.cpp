#include "node/AdminApi.h"

#include "ctl/Parser.h"
#include "node/AdminDocuments.h"
#include "wire/ControlJson.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

namespace fulmarway {

namespace {

constexpr std::string_view kControlPrefix = "/control/v1/";
constexpr unsigned kDefaultAuditEntries = 20;

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

/** Whether the node is ready for callers. */
AdminReply
ReadinessReply(const NodeState& aState)
{
  std::string problem;
  if (ConfigOf(aState).version_ == 0) {
    problem = "no configuration";
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
  unsigned count = kDefaultAuditEntries;
  if (!last.empty() && !Poco::NumberParser::tryParseUnsigned(last, count)) {
    return ErrorReply(400, "last: expected a number");
  }
  return DocumentReply(MakeAuditDocument(aState, count));
}

AdminResult
HandleGetInForce(ExchangeId aExchange, const Poco::URI& aUri)
{
  Poco::UInt64 version = 0;
  if (!Poco::NumberParser::tryParseUnsigned64(QueryValue(aUri, "version"), version)) {
    return ErrorReply(400, "version: expected a number");
  }
  return EventBody{ InForceQueried{ aExchange, version } };
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
  if (aName == "audit") {
    return HandleGetAudit(aState, aUri);
  }
  if (aName == "why") {
    return DocumentReply(MakeWhyDocument(aState, QueryValue(aUri, "click")));
  }
  if (aName == "command") {
    return HandleGetCommand(aState, aUri);
  }
  if (aName == "inforce") {
    return HandleGetInForce(aExchange, aUri);
  }
  return ErrorReply(404, aName + ": not a document");
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
    const bool isPost = aMessage.head_.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
    if (path == "/metrics") {
      return AdminReply{ 200, "text/plain; version=0.0.4", RenderMetrics(aState, aLoop) };
    }
    if (path == "/healthz") {
      return AdminReply{ 200, "text/plain", "ok\n" };
    }
    if (path == "/readyz") {
      return ReadinessReply(aState);
    }
    if (path.compare(0, kControlPrefix.size(), kControlPrefix) != 0) {
      return ErrorReply(404, path + ": not found");
    }
    const std::string name = path.substr(kControlPrefix.size());
    if (isPost && name == "command") {
      return HandlePostCommand(aExchange, aMessage.body_);
    }
    if (isPost) {
      return ErrorReply(405, name + ": expected GET");
    }
    return HandleGetDocument(aState, aLoop, aExchange, name, uri);
  } catch (const Poco::Exception& error) {
    return ErrorReply(400, error.displayText());
  }
}

} // namespace fulmarway
