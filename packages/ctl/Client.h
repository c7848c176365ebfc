/** \file
 * Client of the nodes' admin interface. Fails over to the next node when one does not reply, and
 * queries the outcome of a command whose reply was lost.
 */
#pragma once

#include "model/ControlDocuments.h"
#include "model/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fulmarway {

struct HttpRequest
{
  std::string method_ = "GET";
  std::string path_;
  std::string body_;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpReply
{
  int status_ = 200;
  std::string body_;

  bool operator==(const HttpReply&) const = default;
};

enum class TransportErrorCode : std::uint8_t
{
  /** No connection was established, so no byte of the request was sent. */
  kNotConnected,
  /** No complete reply arrived; the node may have received the request. */
  kNoReply,
};

struct TransportError
{
  TransportErrorCode code_ = TransportErrorCode::kNoReply;
  std::string detail_;
};

using Transport = std::function<tl::expected<HttpReply, TransportError>(const std::string& aNode,
                                                                        const HttpRequest& aRequest,
                                                                        Duration aTimeout)>;

/** Network, clock and randomness of the client; tests replace them. */
struct ClientEnvironment
{
  Transport transport_;
  std::function<Instant()> now_;
  std::function<void(Duration)> sleep_;
  std::function<std::uint64_t()> random_;
};

struct ClientSettings
{
  /** Admin addresses, "IP:PORT". */
  std::vector<std::string> nodes_;
  std::string operator_;
  /** Timeout of a request to one node. */
  Duration timeout_ = std::chrono::seconds(2);
  /** How long to poll for the outcome of a command whose reply was lost. Nodes that can read the
   * log have applied the command within 4 s. */
  Duration outcomePollTimeout_ = std::chrono::seconds(5);
  Duration outcomePollInterval_ = std::chrono::milliseconds(200);
};

enum class ClientErrorCode : std::uint8_t
{
  /** The node replied with a status below 500 other than 200. */
  kRefused,
  /** No node gave a usable reply. */
  kNoNode,
};

struct ClientError
{
  ClientErrorCode code_ = ClientErrorCode::kNoNode;
  std::string message_;
};

class Client
{
public:
  Client(ClientSettings aSettings, ClientEnvironment aEnvironment);

  /** Returns the body of a document from the first node that replies with status 200. Goes on to
   * the next node only after a transport error or a server error. */
  tl::expected<std::string, ClientError> Get(const std::string& aPath);

  /** Sends one statement that changes the configuration. When its outcome is in doubt, polls the
   * nodes for it during `outcomePollTimeout_`. If it is then still not known, returns kUnknown, and
   * the detail contains the command id for a later query. */
  tl::expected<CommandReply, ClientError> SendCommand(std::string_view aText,
                                                      std::uint64_t aBaseVersion);

  /** Returns the outcome of an earlier command; kUnknown if at least one node replied, but none
   * with a final outcome. */
  tl::expected<CommandReply, ClientError> QueryOutcome(CommandId aId);

  const ClientEnvironment& Environment() const { return environment_; }

private:
  tl::expected<HttpReply, TransportError> SendRequest(const std::string& aNode,
                                                      const HttpRequest& aRequest);
  CommandReply PollOutcome(CommandId aId);
  const std::string& NodeForAttempt(std::size_t aAttempt) const;
  void Prefer(std::size_t aAttempt);

  ClientSettings settings_;
  ClientEnvironment environment_;
  /** Index of the node that replied last. It is tried first. */
  std::size_t preferredNode_ = 0;
};

} // namespace fulmarway
