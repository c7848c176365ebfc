/** \file
 * Requests to the admin interface of several nodes: tries the next node when one does not answer,
 * and finds out what became of a command whose answer was lost.
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

struct HttpQuery
{
  std::string method_ = "GET";
  std::string path_;
  std::string body_;

  bool operator==(const HttpQuery&) const = default;
};

struct HttpReply
{
  int status_ = 200;
  std::string body_;

  bool operator==(const HttpReply&) const = default;
};

enum class TransportFault : std::uint8_t
{
  /** No byte of the request was sent. */
  kNotConnected,
  /** The request may have been received. */
  kLost,
};

struct TransportError
{
  TransportFault fault_ = TransportFault::kLost;
  std::string detail_;
};

using Transport = std::function<tl::expected<HttpReply, TransportError>(const std::string& aNode,
                                                                        const HttpQuery& aQuery,
                                                                        Duration aTimeout)>;

/** What the client needs from outside; replaced in tests. */
struct ClientEnvironment
{
  Transport transport_;
  std::function<Instant()> now_;
  std::function<void(Duration)> pause_;
  std::function<std::uint64_t()> random_;
};

struct ClientSettings
{
  /** Admin addresses, "IP:port". */
  std::vector<std::string> nodes_;
  std::string operator_;
  /** Time for one request to one node. */
  Duration timeout_ = std::chrono::seconds(2);
  /** Time for asking for the outcome of a command whose answer was lost. A node that reads the log
   * has the command within 4 s. */
  Duration inquiryTime_ = std::chrono::seconds(5);
  Duration inquiryPause_ = std::chrono::milliseconds(200);
};

enum class ClientFault : std::uint8_t
{
  /** The node understood the request and refused it. */
  kRefused,
  kNoNode,
};

struct ClientError
{
  ClientFault fault_ = ClientFault::kNoNode;
  std::string message_;
};

class Client
{
public:
  Client(ClientSettings aSettings, ClientEnvironment aEnvironment);

  /** Body of a document, from the first node that answers with status 200. */
  tl::expected<std::string, ClientError> Get(const std::string& aPath);

  /** Sends one changing statement. The outcome is kUnknown only after the nodes were asked for the
   * command id during `inquiryTime_`; the detail then names the id. */
  tl::expected<CommandReply, ClientError> Send(std::string_view aText, std::uint64_t aBaseVersion);

  /** The outcome of an earlier command; kUnknown when a node answered but none knows it. */
  tl::expected<CommandReply, ClientError> Inquire(CommandId aId);

  const ClientEnvironment& Environment() const { return environment_; }

private:
  tl::expected<HttpReply, TransportError> Call(const std::string& aNode, const HttpQuery& aQuery);
  CommandReply InquireUntilKnown(CommandId aId);
  const std::string& NodeAt(std::size_t aAttempt) const;
  void Prefer(std::size_t aAttempt);

  ClientSettings settings_;
  ClientEnvironment environment_;
  /** Index of the node that answered last; it is asked first. */
  std::size_t preferred_ = 0;
};

} // namespace fulmarway
