/** \file
 * The protocols of a node with callers, the local backend server and the store, as sets of
 * functions that parse and format messages. One set is chosen at start.
 */
#pragma once

#include "model/BackendHeartbeat.h"
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

/** Messages of callers and of the backend server. */
struct CallInterface
{
  std::function<tl::expected<CallerRequest, InvalidRequest>(const Poco::Net::HTTPRequest& aHead,
                                                            std::string aBody)>
    parseRequest_;
  /** Sets status and headers; returns the body. */
  std::function<std::string(const CallerReply& aReply, HttpResponseHead& aHead)> formatReply_;
  std::function<std::string(const InvalidRequest& aInvalid, HttpResponseHead& aHead)>
    formatInvalid_;
  std::function<void(const BackendRequest& aRequest, Poco::Net::HTTPRequest& aHead)>
    formatBackendRequest_;
  /** The header field that identifies the answer; nullopt if answers are matched by order only. */
  std::function<std::optional<ExpectedEcho>(const BackendRequest& aRequest)> expectedEcho_;
  std::function<bool(const HttpResponseHead& aHead)> isRefusedByBackend_;
  /** The answer to pass on; nullopt when it did not come from the backend server itself. */
  std::function<std::optional<Answer>(HttpResponseMessage aMessage)> makeAnswer_;
  /** The load that the backend server reports with an answer; nullopt without a valid report. */
  std::function<std::optional<BackendLoad>(const HttpResponseHead& aHead)> backendLoad_;
  std::function<BackendSignals(const HttpResponseHead& aHead)> backendSignals_;
};

/** A heartbeat or a deregistration of the backend server. */
using BackendNotice = std::variant<BackendHeartbeat, BackendLeave>;

struct HeartbeatInterface
{
  std::function<tl::expected<BackendNotice, UserError>(const HttpRequestMessage& aMessage)>
    parseNotice_;
};

/** An HTTP request to the store, independent of the transport. */
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
  /** The era of the store that an answer of any status names, see StoreCallFinished::era_; nullopt
   * if it names none. */
  std::function<tl::expected<std::optional<std::uint64_t>, UserError>(
    const HttpResponseMessage& aMessage)>
    parseEra_;
};

struct NodeInterface
{
  CallInterface calls_;
  /** Absent if the node uses health checks instead of heartbeats. */
  std::optional<HeartbeatInterface> heartbeats_;
  /** Absent if the node uses the log service instead of a store. */
  std::optional<StoreInterface> store_;
};

/** Fulmarway's own protocols, see docs/INTERFACES.md. */
NodeInterface
MakeOwnInterface();

} // namespace fulmarway
