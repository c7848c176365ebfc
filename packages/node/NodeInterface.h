/** \file
 * The outside of a node as free functions: what callers, the own backend server and the store send
 * and get. One set of them is chosen at start.
 */
#pragma once

#include "model/BackendReport.h"
#include "model/Mac.h"
#include "model/Store.h"
#include "node/HttpClient.h"
#include "wire/HttpFraming.h"
#include "wire/HttpMapping.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace fulmarway {

/** The callers' side and the backend server's side. */
struct CallInterface
{
  std::function<tl::expected<CallerRequest, InvalidRequest>(const Poco::Net::HTTPRequest& aHead,
                                                            std::string aBody)>
    parseRequest_;
  /** Sets status and headers; returns the body. */
  std::function<std::string(const CallerReply& aReply, Poco::Net::HTTPResponse& aHead)>
    formatReply_;
  std::function<std::string(const InvalidRequest& aInvalid, Poco::Net::HTTPResponse& aHead)>
    formatInvalid_;
  std::function<void(const BackendRequest& aRequest, Poco::Net::HTTPRequest& aHead)>
    formatBackendRequest_;
  /** What the answer must repeat; nullopt when answers are told apart by order only. */
  std::function<std::optional<ExpectedEcho>(const BackendRequest& aRequest)> expectedEcho_;
  std::function<bool(const Poco::Net::HTTPResponse& aHead)> isRefusedByBackend_;
  /** The answer to pass on; nullopt when it is not the backend server's own. */
  std::function<std::optional<Answer>(HttpResponseMessage aMessage)> makeAnswer_;
};

/** A heartbeat, or the notice that the backend server leaves. */
using BackendNotice = std::variant<BackendReport, BackendLeave>;

struct ReportInterface
{
  std::function<tl::expected<BackendNotice, UserError>(const HttpRequestMessage& aMessage)>
    parseNotice_;
};

/** A call to the store without its transport. */
struct StoreCall
{
  std::string method_ = "GET";
  std::string uri_;
  std::string body_;

  bool operator==(const StoreCall&) const = default;
};

struct StoreInterface
{
  std::function<StoreCall(const ClusterKey& aKey, const StoreRequest& aRequest)> formatCall_;
  std::function<StoreReply(const ClusterKey& aKey,
                           const StoreRequest& aRequest,
                           const HttpResponseMessage& aMessage)>
    parseReply_;
};

struct NodeInterface
{
  CallInterface calls_;
  /** Absent where health checks take its place. */
  std::optional<ReportInterface> reports_;
  /** Absent where the log service takes its place. */
  std::optional<StoreInterface> store_;
};

/** Fulmarway's own interface, docs/INTERFACES.md. */
NodeInterface
OwnInterface();

} // namespace fulmarway
