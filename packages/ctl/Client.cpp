#include "ctl/Client.h"

#include "wire/ControlJson.h"

#include <utility>

namespace fulmarway {

namespace {

constexpr int kHttpOk = 200;
constexpr int kMinHttpServerError = 500;

std::string
FormatNodeError(const std::string& aNode, const HttpReply& aReply)
{
  const auto error = ParseErrorDocument(aReply.body_);
  return aNode + ": " + (error ? error->error_ : "HTTP status " + std::to_string(aReply.status_));
}

/** Whether the node has decided on the command, so that the outcome cannot change. */
bool
IsFinal(ReplyOutcome aOutcome)
{
  return aOutcome == ReplyOutcome::kAccepted || aOutcome == ReplyOutcome::kConflict ||
         aOutcome == ReplyOutcome::kRejected || aOutcome == ReplyOutcome::kInvalid;
}

} // namespace

Client::Client(ClientSettings aSettings, ClientEnvironment aEnvironment)
  : settings_(std::move(aSettings))
  , environment_(std::move(aEnvironment))
{
}

const std::string&
Client::NodeForAttempt(std::size_t aAttempt) const
{
  return settings_.nodes_[(preferredNode_ + aAttempt) % settings_.nodes_.size()];
}

void
Client::Prefer(std::size_t aAttempt)
{
  preferredNode_ = (preferredNode_ + aAttempt) % settings_.nodes_.size();
}

tl::expected<HttpReply, TransportError>
Client::SendRequest(const std::string& aNode, const HttpRequest& aRequest)
{
  return environment_.transport_(aNode, aRequest, settings_.timeout_);
}

tl::expected<std::string, ClientError>
Client::Get(const std::string& aPath)
{
  std::string errors;
  for (std::size_t attempt = 0; attempt < settings_.nodes_.size(); ++attempt) {
    const std::string& node = NodeForAttempt(attempt);
    const auto reply = SendRequest(node, { "GET", aPath, {} });
    if (reply && reply->status_ == kHttpOk) {
      Prefer(attempt);
      return reply->body_;
    }
    if (reply && reply->status_ < kMinHttpServerError) {
      return tl::unexpected(
        ClientError{ ClientErrorCode::kRefused, FormatNodeError(node, *reply) });
    }
    errors += (errors.empty() ? "" : "; ") +
              (reply ? FormatNodeError(node, *reply) : node + ": " + reply.error().detail_);
  }
  return tl::unexpected(ClientError{ ClientErrorCode::kNoNode, errors });
}

tl::expected<CommandReply, ClientError>
Client::SendCommand(std::string_view aText, std::uint64_t aBaseVersion)
{
  const CommandId id{ environment_.random_() };
  const std::string body =
    ToJson(CommandRequest{ id, settings_.operator_, aBaseVersion, std::string(aText) });
  std::string errors;
  std::optional<CommandReply> unavailable;
  for (std::size_t attempt = 0; attempt < settings_.nodes_.size(); ++attempt) {
    const std::string& node = NodeForAttempt(attempt);
    const auto reply = SendRequest(node, { "POST", "/control/v1/command", body });
    if (!reply && reply.error().code_ == TransportErrorCode::kNotConnected) {
      errors += (errors.empty() ? "" : "; ") + node + ": " + reply.error().detail_;
      continue;
    }
    if (reply && reply->status_ != kHttpOk && reply->status_ < kMinHttpServerError) {
      return tl::unexpected(
        ClientError{ ClientErrorCode::kRefused, FormatNodeError(node, *reply) });
    }
    // After a lost or unreadable reply or a server error, the command may have taken effect. A
    // CommandReply{} has the outcome kUnknown.
    const auto parsed = reply && reply->status_ == kHttpOk
                          ? ParseCommandReply(reply->body_)
                          : tl::expected<CommandReply, UserError>(CommandReply{});
    if (!parsed || parsed->outcome_ == ReplyOutcome::kUnknown) {
      return PollOutcome(id);
    }
    if (parsed->outcome_ == ReplyOutcome::kUnavailable) {
      // The command was not appended, so another node may accept it.
      unavailable = *parsed;
      continue;
    }
    Prefer(attempt);
    return *parsed;
  }
  if (unavailable) {
    return *unavailable;
  }
  return tl::unexpected(ClientError{ ClientErrorCode::kNoNode, errors });
}

tl::expected<CommandReply, ClientError>
Client::QueryOutcome(CommandId aId)
{
  std::string errors;
  std::optional<CommandReply> unknown;
  for (std::size_t attempt = 0; attempt < settings_.nodes_.size(); ++attempt) {
    const std::string& node = NodeForAttempt(attempt);
    const auto reply =
      SendRequest(node, { "GET", "/control/v1/command?id=" + ToHex(aId.value_), {} });
    const auto parsed = reply && reply->status_ == kHttpOk ? ParseCommandReply(reply->body_)
                                                           : tl::unexpected(UserError{});
    if (parsed && IsFinal(parsed->outcome_)) {
      Prefer(attempt);
      return *parsed;
    }
    if (parsed) {
      unknown = CommandReply{ ReplyOutcome::kUnknown, parsed->version_, 0, parsed->detail_ };
    } else {
      errors += (errors.empty() ? "" : "; ") +
                (reply ? FormatNodeError(node, *reply) : node + ": " + reply.error().detail_);
    }
  }
  if (unknown) {
    return *unknown;
  }
  return tl::unexpected(ClientError{ ClientErrorCode::kNoNode, errors });
}

CommandReply
Client::PollOutcome(CommandId aId)
{
  const Instant deadline = environment_.now_() + settings_.outcomePollTimeout_;
  CommandReply last;
  do {
    if (const auto reply = QueryOutcome(aId)) {
      if (IsFinal(reply->outcome_)) {
        return *reply;
      }
      last = *reply;
    }
    environment_.sleep_(settings_.outcomePollInterval_);
  } while (environment_.now_() < deadline);
  last.outcome_ = ReplyOutcome::kUnknown;
  last.detail_ = "the answer was lost; ask later with: outcome " + ToHex(aId.value_);
  return last;
}

} // namespace fulmarway
