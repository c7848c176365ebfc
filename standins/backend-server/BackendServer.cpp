#include "BackendServer.h"

#include "support/AnswerBody.h"

#include <Poco/URI.h>
#include <algorithm>
#include <array>

namespace fulmarway::standins {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

HttpMessage
TextResponse(int aStatus, std::string aBody)
{
  HttpMessage response;
  response.status_ = aStatus;
  response.headers_ = { { "Content-Type", "text/plain" } };
  response.body_ = std::move(aBody);
  return response;
}

HttpMessage
JsonResponse(std::string aBody)
{
  HttpMessage response;
  response.headers_ = { { "Content-Type", "application/json" } };
  response.body_ = std::move(aBody);
  return response;
}

HttpMessage
RejectedResponse(const char* aReason)
{
  HttpMessage response = TextResponse(503, std::string(aReason) + "\n");
  response.headers_.emplace_back("Fulmarway-Verdict", "not-run");
  response.headers_.emplace_back("Fulmarway-Reason", aReason);
  return response;
}

/** 502 that passes on the verdict, reason and Retry-After of the failed downstream call. */
HttpMessage
DownstreamFailureResponse(const CallResult& aResult)
{
  HttpMessage response = TextResponse(502, "deeper call failed\n");
  if (aResult.response_) {
    for (const char* name : { "Fulmarway-Verdict", "Fulmarway-Reason", "Retry-After" }) {
      if (const auto value = FindHeader(*aResult.response_, name)) {
        response.headers_.emplace_back(name, *value);
      }
    }
  }
  return response;
}

bool
Succeeded(const CallResult& aResult)
{
  return aResult.response_ && aResult.response_->status_ == 200;
}

} // namespace

BackendServer::BackendServer(EventLoop& aLoop, BackendSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , executionRecorder_(settings_.atMostOncePaths_)
  , server_(aLoop,
            settings_.listen_,
            { [this](ExchangeId aExchange, const HttpMessage& aRequest) {
               HandleRequest(aExchange, aRequest);
             },
              [this](ExchangeId aExchange) { HandleAbandoned(aExchange); } })
  , client_(aLoop, {})
  , random_(settings_.seed_)
  , warmAt_(Clock::now() + settings_.coldStart_)
{
}

void
BackendServer::HandleRequest(ExchangeId aExchange, const HttpMessage& aRequest)
{
  const std::string path = aRequest.target_.substr(0, aRequest.target_.find('?'));
  if (path == "/health" || path == "/stats" || path == "/control" ||
      path.starts_with("/executions")) {
    HandleControl(aExchange, aRequest);
  } else {
    HandleKindRequest(aExchange, aRequest);
  }
}

void
BackendServer::HandleControl(ExchangeId aExchange, const HttpMessage& aRequest)
{
  const Poco::URI uri(aRequest.target_);
  if (uri.getPath() == "/health") {
    server_.Respond(aExchange,
                    down_ || IsCold() ? TextResponse(503, "not ready\n")
                                      : TextResponse(200, "ready\n"));
  } else if (uri.getPath() == "/stats") {
    server_.Respond(aExchange, JsonResponse(executionRecorder_.StatsJson(running_, queue_.size())));
  } else if (uri.getPath() == "/executions") {
    std::string rootRequestId;
    for (const auto& [name, value] : uri.getQueryParameters()) {
      rootRequestId = name == "click" ? value : rootRequestId;
    }
    server_.Respond(aExchange, JsonResponse(executionRecorder_.ExecutionsJson(rootRequestId)));
  } else if (uri.getPath() == "/executions/all") {
    server_.Respond(aExchange, TextResponse(200, executionRecorder_.AllExecutions()));
  } else {
    try {
      double forMs = 0;
      for (const auto& [name, value] : uri.getQueryParameters()) {
        if (name == "slow") {
          slowFactor_ = ParseNumber(value);
        } else if (name == "for-ms") {
          forMs = ParseNumber(value);
        } else if (name == "down") {
          SetDown(value == "1");
        }
      }
      slowUntil_ = Clock::now() + std::chrono::milliseconds(static_cast<std::int64_t>(forMs));
      server_.Respond(aExchange, TextResponse(200, "ok\n"));
    } catch (const std::invalid_argument& error) {
      server_.Respond(aExchange, TextResponse(400, std::string(error.what()) + "\n"));
    }
  }
}

void
BackendServer::HandleKindRequest(ExchangeId aExchange, const HttpMessage& aRequest)
{
  if (down_) {
    server_.Drop(aExchange);
    return;
  }
  const KindPlan* kind = FindKind(settings_.plan_, aRequest.target_);
  if (kind == nullptr) {
    server_.Respond(aExchange, TextResponse(404, "unknown kind\n"));
    return;
  }
  const bool full = settings_.queueLimit_ && running_ >= settings_.slots_ &&
                    queue_.size() >= *settings_.queueLimit_;
  if (IsCold() || full) {
    executionRecorder_.RecordRejected(kind->path_);
    server_.Respond(aExchange, RejectedResponse(full ? "queue-full" : "cold-start"));
    return;
  }
  ActiveRequest activeRequest;
  activeRequest.kind_ = kind;
  activeRequest.rootRequestId_ = FindHeader(aRequest, "Fulmarway-Click").value_or("-");
  activeRequest.parent_ = FindHeader(aRequest, "Fulmarway-Parent").value_or("");
  if (const auto deadlineMs = FindNumericHeader(aRequest, "Fulmarway-Deadline-Ms")) {
    activeRequest.deadline_ =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(Milliseconds(*deadlineMs));
  }
  activeRequests_[aExchange] = std::move(activeRequest);
  queue_.push_back(aExchange);
  StartQueued();
}

void
BackendServer::StartQueued()
{
  while (running_ < settings_.slots_ && !queue_.empty()) {
    const ExchangeId exchange = queue_.front();
    queue_.pop_front();
    Start(exchange);
  }
}

void
BackendServer::Start(ExchangeId aExchange)
{
  ActiveRequest& activeRequest = activeRequests_.at(aExchange);
  ++running_;
  activeRequest.running_ = true;
  activeRequest.started_ = Clock::now();
  activeRequest.sequence_ =
    executionRecorder_.RecordStart(activeRequest.kind_->path_, activeRequest.rootRequestId_);
  SendInterimAnswers(aExchange, (settings_.interimAnswers_ + 1) / 2);
  activeRequest.workMs_ = DrawServiceMs(*activeRequest.kind_, settings_.distribution_, random_) *
                          (activeRequest.started_ < slowUntil_ ? slowFactor_ : 1);
  activeRequest.timer_ = loop_.CallAfter(
    std::chrono::duration_cast<Clock::duration>(Milliseconds(activeRequest.workMs_)),
    [this, aExchange] { MakeNextDownstreamCall(aExchange); });
}

std::optional<Poco::Net::SocketAddress>
BackendServer::DownstreamAddress(const std::string& aService)
{
  const auto found = settings_.peers_.find(aService);
  if (found != settings_.peers_.end() && !found->second.empty()) {
    return found->second[nextPeer_++ % found->second.size()];
  }
  return settings_.node_;
}

void
BackendServer::MakeNextDownstreamCall(ExchangeId aExchange)
{
  ActiveRequest& activeRequest = activeRequests_.at(aExchange);
  if (activeRequest.nextCall_ == activeRequest.kind_->calls_.size()) {
    HttpMessage response;
    response.headers_ = { { "Content-Type", "text/plain" } };
    response.body_ = MakeAnswerBody(
      { activeRequest.rootRequestId_, activeRequest.kind_->path_, activeRequest.sequence_ },
      activeRequest.kind_->bytes_);
    Finish(aExchange, response);
    return;
  }
  const std::string& path = activeRequest.kind_->calls_[activeRequest.nextCall_];
  const std::string service = path.substr(0, path.find('/'));
  const auto address = DownstreamAddress(service);
  const auto remaining = activeRequest.deadline_
                           ? std::chrono::duration_cast<std::chrono::milliseconds>(
                               *activeRequest.deadline_ - Clock::now())
                           : settings_.callTimeout_;
  if (!address || remaining.count() <= 0) {
    Finish(aExchange, DownstreamFailureResponse({ CallFailure::kTimeout, {} }));
    return;
  }
  HttpMessage request;
  request.target_ = (settings_.peers_.contains(service) ? "/" : "/v1/call/") + path;
  request.headers_ = { { "Fulmarway-Click", activeRequest.rootRequestId_ },
                       { "Fulmarway-Call-Index", std::to_string(activeRequest.nextCall_) } };
  if (!activeRequest.parent_.empty()) {
    request.headers_.emplace_back("Fulmarway-Parent", activeRequest.parent_);
  }
  if (activeRequest.deadline_) {
    request.headers_.emplace_back("Fulmarway-Deadline-Ms", std::to_string(remaining.count()));
  }
  activeRequest.call_ =
    client_.Send(*address, std::move(request), remaining, [this, aExchange](CallResult aResult) {
      HandleCallResult(aExchange, aResult);
    });
}

void
BackendServer::HandleCallResult(ExchangeId aExchange, const CallResult& aResult)
{
  ActiveRequest& activeRequest = activeRequests_.at(aExchange);
  activeRequest.call_ = 0;
  const std::string& path = activeRequest.kind_->calls_[activeRequest.nextCall_];
  if (Succeeded(aResult)) {
    ++activeRequest.nextCall_;
    activeRequest.callAttempts_ = 0;
    MakeNextDownstreamCall(aExchange);
  } else if (settings_.peers_.contains(path.substr(0, path.find('/'))) &&
             activeRequest.callAttempts_ < settings_.callRetries_) {
    ++activeRequest.callAttempts_;
    MakeNextDownstreamCall(aExchange);
  } else {
    Finish(aExchange, DownstreamFailureResponse(aResult));
  }
}

void
BackendServer::SendInterimAnswers(ExchangeId aExchange, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    server_.SendInterim(aExchange, i % 2 == 0 ? 103 : 102);
  }
}

void
BackendServer::Finish(ExchangeId aExchange, HttpMessage aResponse)
{
  SendInterimAnswers(aExchange, settings_.interimAnswers_ / 2);
  if (settings_.invalidStatusEvery_ > 0 && ++finished_ % settings_.invalidStatusEvery_ == 0) {
    constexpr std::array kInvalidStatuses = { 0, 101, 600, 999 };
    aResponse.status_ =
      kInvalidStatuses[finished_ / settings_.invalidStatusEvery_ % kInvalidStatuses.size()];
  }
  const ActiveRequest& activeRequest = activeRequests_.at(aExchange);
  executionRecorder_.RecordFinish(
    activeRequest.kind_->path_, activeRequest.rootRequestId_, activeRequest.workMs_);
  server_.Respond(aExchange, aResponse);
  Release(aExchange);
}

void
BackendServer::Release(ExchangeId aExchange)
{
  activeRequests_.erase(aExchange);
  --running_;
  StartQueued();
}

void
BackendServer::HandleAbandoned(ExchangeId aExchange)
{
  const auto found = activeRequests_.find(aExchange);
  if (found == activeRequests_.end() || settings_.keepAbandoned_) {
    return;
  }
  ActiveRequest& activeRequest = found->second;
  if (!activeRequest.running_) {
    std::erase(queue_, aExchange);
    activeRequests_.erase(found);
    return;
  }
  loop_.Cancel(activeRequest.timer_);
  if (activeRequest.call_ != 0) {
    client_.Cancel(activeRequest.call_);
  }
  const double elapsedMs = Milliseconds(Clock::now() - activeRequest.started_).count();
  executionRecorder_.RecordAbandoned(activeRequest.kind_->path_,
                                     activeRequest.rootRequestId_,
                                     std::min(activeRequest.workMs_, elapsedMs));
  Release(aExchange);
}

void
BackendServer::SetDown(bool aDown)
{
  down_ = aDown;
  if (!aDown) {
    return;
  }
  std::vector<ExchangeId> exchanges;
  for (const auto& [exchange, activeRequest] : activeRequests_) {
    exchanges.push_back(exchange);
  }
  for (const ExchangeId exchange : exchanges) {
    server_.Drop(exchange);
  }
  queue_.clear();
  std::erase_if(activeRequests_, [](const auto& aEntry) { return !aEntry.second.running_; });
  for (const ExchangeId exchange : exchanges) {
    HandleAbandoned(exchange);
  }
}

} // namespace fulmarway::standins
