/** \file
 * Performs the effects that the reducer returns.
 */
#include "node/Node.h"

#include "logservice/LogProtocol.h"
#include "wire/ControlJson.h"
#include "wire/Frame.h"
#include "wire/HttpMapping.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

namespace fulmarway {

namespace {

constexpr Duration kLogTimeout = std::chrono::seconds(2);
/** Backstop for connection leaks; the reducer cancels requests at their deadline. */
constexpr Duration kBackendTimeout = std::chrono::minutes(15);

} // namespace

void
Node::RunEffects(Effects aEffects)
{
  for (Effect& effect : aEffects) {
    std::visit([this](auto& aEffect) { RunEffect(aEffect); }, effect);
  }
}

void
Node::RunEffect(ReplyToCaller& aEffect)
{
  HttpResponseHead head(Poco::Net::HTTPResponse::HTTP_OK);
  const std::string body = interface_.calls_.formatReply_(aEffect.reply_, head);
  HandleCallerEvents(callers_.Reply(aEffect.exchange_, head, body, now_));
}

void
Node::RunEffect(PermitBody& aEffect)
{
  HandleCallerEvents(callers_.PermitBody(aEffect.exchange_, now_));
}

void
Node::RunEffect(SendToPeer& aEffect)
{
  peers_.SendToPeer(aEffect.peer_, aEffect.address_, aEffect.message_, now_);
}

void
Node::RunEffect(SendToLink& aEffect)
{
  peers_.SendToLink(aEffect.link_, aEffect.message_);
}

void
Node::RunEffect(SendGossip& aEffect)
{
  const std::string datagram = EncodeDatagram(settings_.node_.clusterKey_, aEffect.message_);
  try {
    gossip_.sendTo(datagram.data(),
                   static_cast<int>(datagram.size()),
                   Poco::Net::SocketAddress(aEffect.address_));
    counters_.controlBytesSent_ += datagram.size() + kDatagramHeaderBytes;
  } catch (const Poco::Exception&) {
    // Same as a lost datagram: gossip sends important updates repeatedly.
  }
}

void
Node::RunEffect(CallBackend& aEffect)
{
  Poco::Net::HTTPRequest head;
  interface_.calls_.formatBackendRequest_(aEffect.request_, head);
  backend_.Send(aEffect.request_.id_.value_,
                head,
                aEffect.request_.request_.body_,
                now_,
                now_ + kBackendTimeout,
                interface_.calls_.expectedEcho_(aEffect.request_));
}

void
Node::RunEffect(CancelBackend& aEffect)
{
  backend_.Cancel(aEffect.request_.value_);
}

void
Node::RunEffect(CloseIdleBackendConnections&)
{
  backend_.CloseIdle();
}

void
Node::RunEffect(AcknowledgeNotice& aEffect)
{
  ReplyToHeartbeat(aEffect.exchange_, Poco::Net::HTTPResponse::HTTP_OK);
}

void
Node::RunEffect(CallStore& aEffect)
{
  const StoreTask task = TaskOf(aEffect.request_);
  if (!store_) {
    queue_.push_back(StoreCallFinished{ task, StoreFailed{ "no store address; set --store" } });
    return;
  }
  const StoreCall call =
    interface_.store_->formatCall_(settings_.node_.clusterKey_, aEffect.request_);
  Poco::Net::HTTPRequest head(call.method_, call.uri_, Poco::Net::HTTPMessage::HTTP_1_1);
  counters_.controlBytesSent_ += call.uri_.size() + call.body_.size();
  storeCallsInFlight_.insert_or_assign(task, std::move(aEffect.request_));
  store_->Send(static_cast<std::uint64_t>(task), head, call.body_, now_, now_ + aEffect.timeout_);
}

void
Node::RunEffect(ReadLog& aEffect)
{
  if (!logService_) {
    queue_.push_back(LogReadFailed{});
    return;
  }
  const LogRequest request = MakeReadRequest(aEffect.from_);
  Poco::Net::HTTPRequest head(request.method_, request.uri_, Poco::Net::HTTPMessage::HTTP_1_1);
  counters_.controlBytesSent_ += request.uri_.size();
  logService_->Send(kLogReadToken, head, request.body_, now_, now_ + kLogTimeout);
}

void
Node::RunEffect(AppendLog& aEffect)
{
  if (!logService_) {
    queue_.push_back(AppendFinished{ aEffect.token_, AppendResult::kRefused });
    return;
  }
  const LogRequest request = MakeAppendRequest(settings_.node_.clusterKey_, aEffect.record_);
  Poco::Net::HTTPRequest head(request.method_, request.uri_, Poco::Net::HTTPMessage::HTTP_1_1);
  counters_.controlBytesSent_ += request.body_.size();
  logService_->Send(aEffect.token_, head, request.body_, now_, now_ + kLogTimeout);
}

void
Node::RunEffect(ReplyToCommand& aEffect)
{
  SendAdminReply(aEffect.exchange_, { 200, "application/json", ToJson(aEffect.reply_) });
}

void
Node::RunEffect(ReplyInForce& aEffect)
{
  SendAdminReply(aEffect.exchange_, { 200, "application/json", ToJson(aEffect.document_) });
}

void
Node::RunEffect(LogLine& aEffect)
{
  if (!logLimiter_.Admit(aEffect.event_, now_)) {
    ++counters_.omittedLogLines_;
    return;
  }
  std::string fields;
  for (const auto& [name, value] : aEffect.fields_) {
    fields += ' ' + name + '=' + value;
  }
  spdlog::info("event={}{}", aEffect.event_, fields);
}

void
Node::RunEffect(SetCallerLimits& aEffect)
{
  callers_.SetLimits(aEffect.limits_);
}

void
Node::RunEffect(CloseAfterReplies&)
{
  callers_.CloseAfterReplies();
}

void
Node::RunEffect(StopAccepting&)
{
  callers_.StopAccepting();
}

void
Node::RunEffect(ExitProcess&)
{
  exiting_ = true;
}

} // namespace fulmarway
