#include "BackendServer.h"

#include "support/AnswerBody.h"

#include <Poco/URI.h>
#include <algorithm>

namespace fulmarway::standins {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

HttpMessage
Text(int aStatus, std::string aBody)
{
  HttpMessage response;
  response.status_ = aStatus;
  response.headers_ = { { "Content-Type", "text/plain" } };
  response.body_ = std::move(aBody);
  return response;
}

HttpMessage
Json(std::string aBody)
{
  HttpMessage response;
  response.headers_ = { { "Content-Type", "application/json" } };
  response.body_ = std::move(aBody);
  return response;
}

HttpMessage
Rejected(const char* aReason)
{
  HttpMessage response = Text(503, std::string(aReason) + "\n");
  response.headers_.emplace_back("Fulmarway-Verdict", "not-run");
  response.headers_.emplace_back("Fulmarway-Reason", aReason);
  return response;
}

/** 502 that passes on the verdict, reason and Retry-After of the failed downstream call. */
HttpMessage
DeeperCallFailed(const CallResult& aResult)
{
  HttpMessage response = Text(502, "deeper call failed\n");
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
  , ledger_(settings_.oncePaths_)
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
    HandleWork(aExchange, aRequest);
  }
}

void
BackendServer::HandleControl(ExchangeId aExchange, const HttpMessage& aRequest)
{
  const Poco::URI uri(aRequest.target_);
  if (uri.getPath() == "/health") {
    server_.Respond(aExchange, down_ || IsCold() ? Text(503, "not ready\n") : Text(200, "ready\n"));
  } else if (uri.getPath() == "/stats") {
    server_.Respond(aExchange, Json(ledger_.StatsJson(running_, queue_.size())));
  } else if (uri.getPath() == "/executions") {
    std::string click;
    for (const auto& [name, value] : uri.getQueryParameters()) {
      click = name == "click" ? value : click;
    }
    server_.Respond(aExchange, Json(ledger_.ExecutionsJson(click)));
  } else if (uri.getPath() == "/executions/all") {
    server_.Respond(aExchange, Text(200, ledger_.AllExecutions()));
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
      server_.Respond(aExchange, Text(200, "ok\n"));
    } catch (const std::invalid_argument& error) {
      server_.Respond(aExchange, Text(400, std::string(error.what()) + "\n"));
    }
  }
}

void
BackendServer::HandleWork(ExchangeId aExchange, const HttpMessage& aRequest)
{
  if (down_) {
    server_.Drop(aExchange);
    return;
  }
  const KindPlan* kind = FindKind(settings_.plan_, aRequest.target_);
  if (kind == nullptr) {
    server_.Respond(aExchange, Text(404, "unknown kind\n"));
    return;
  }
  const bool full = settings_.queueLimit_ && running_ >= settings_.slots_ &&
                    queue_.size() >= *settings_.queueLimit_;
  if (IsCold() || full) {
    ledger_.NoteRejected(kind->path_);
    server_.Respond(aExchange, Rejected(full ? "queue-full" : "cold-start"));
    return;
  }
  Work work;
  work.kind_ = kind;
  work.click_ = FindHeader(aRequest, "Fulmarway-Click").value_or("-");
  work.parent_ = FindHeader(aRequest, "Fulmarway-Parent").value_or("");
  if (const auto deadlineMs = FindNumber(aRequest, "Fulmarway-Deadline-Ms")) {
    work.deadline_ =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(Milliseconds(*deadlineMs));
  }
  works_[aExchange] = std::move(work);
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
  Work& work = works_.at(aExchange);
  ++running_;
  work.running_ = true;
  work.started_ = Clock::now();
  work.sequence_ = ledger_.NoteStart(work.kind_->path_, work.click_);
  work.workMs_ = DrawServiceMs(*work.kind_, settings_.distribution_, random_) *
                 (work.started_ < slowUntil_ ? slowFactor_ : 1);
  work.timer_ =
    loop_.CallAfter(std::chrono::duration_cast<Clock::duration>(Milliseconds(work.workMs_)),
                    [this, aExchange] { MakeNextCall(aExchange); });
}

std::optional<Poco::Net::SocketAddress>
BackendServer::CallAddress(const std::string& aService)
{
  const auto found = settings_.peers_.find(aService);
  if (found != settings_.peers_.end() && !found->second.empty()) {
    return found->second[nextPeer_++ % found->second.size()];
  }
  return settings_.node_;
}

void
BackendServer::MakeNextCall(ExchangeId aExchange)
{
  Work& work = works_.at(aExchange);
  if (work.nextCall_ == work.kind_->calls_.size()) {
    HttpMessage response;
    response.headers_ = { { "Content-Type", "text/plain" } };
    response.body_ =
      MakeAnswerBody({ work.click_, work.kind_->path_, work.sequence_ }, work.kind_->bytes_);
    Finish(aExchange, response);
    return;
  }
  const std::string& path = work.kind_->calls_[work.nextCall_];
  const std::string service = path.substr(0, path.find('/'));
  const auto address = CallAddress(service);
  const auto remaining =
    work.deadline_
      ? std::chrono::duration_cast<std::chrono::milliseconds>(*work.deadline_ - Clock::now())
      : settings_.callTimeout_;
  if (!address || remaining.count() <= 0) {
    Finish(aExchange, DeeperCallFailed({ CallFailure::kTimeout, {} }));
    return;
  }
  HttpMessage request;
  request.target_ = (settings_.peers_.contains(service) ? "/" : "/v1/call/") + path;
  request.headers_ = { { "Fulmarway-Click", work.click_ },
                       { "Fulmarway-Call-Index", std::to_string(work.nextCall_) } };
  if (!work.parent_.empty()) {
    request.headers_.emplace_back("Fulmarway-Parent", work.parent_);
  }
  if (work.deadline_) {
    request.headers_.emplace_back("Fulmarway-Deadline-Ms", std::to_string(remaining.count()));
  }
  work.call_ =
    client_.Send(*address, std::move(request), remaining, [this, aExchange](CallResult aResult) {
      HandleCallResult(aExchange, aResult);
    });
}

void
BackendServer::HandleCallResult(ExchangeId aExchange, const CallResult& aResult)
{
  Work& work = works_.at(aExchange);
  work.call_ = 0;
  const std::string& path = work.kind_->calls_[work.nextCall_];
  if (Succeeded(aResult)) {
    ++work.nextCall_;
    work.callAttempts_ = 0;
    MakeNextCall(aExchange);
  } else if (settings_.peers_.contains(path.substr(0, path.find('/'))) &&
             work.callAttempts_ < settings_.callRetries_) {
    ++work.callAttempts_;
    MakeNextCall(aExchange);
  } else {
    Finish(aExchange, DeeperCallFailed(aResult));
  }
}

void
BackendServer::Finish(ExchangeId aExchange, const HttpMessage& aResponse)
{
  const Work& work = works_.at(aExchange);
  ledger_.NoteFinish(work.kind_->path_, work.click_, work.workMs_);
  server_.Respond(aExchange, aResponse);
  Release(aExchange);
}

void
BackendServer::Release(ExchangeId aExchange)
{
  works_.erase(aExchange);
  --running_;
  StartQueued();
}

void
BackendServer::HandleAbandoned(ExchangeId aExchange)
{
  const auto found = works_.find(aExchange);
  if (found == works_.end() || settings_.keepAbandoned_) {
    return;
  }
  Work& work = found->second;
  if (!work.running_) {
    std::erase(queue_, aExchange);
    works_.erase(found);
    return;
  }
  loop_.Cancel(work.timer_);
  if (work.call_ != 0) {
    client_.Cancel(work.call_);
  }
  const double elapsedMs = Milliseconds(Clock::now() - work.started_).count();
  ledger_.NoteAbandoned(work.kind_->path_, work.click_, std::min(work.workMs_, elapsedMs));
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
  for (const auto& [exchange, work] : works_) {
    exchanges.push_back(exchange);
  }
  for (const ExchangeId exchange : exchanges) {
    server_.Drop(exchange);
  }
  queue_.clear();
  std::erase_if(works_, [](const auto& aEntry) { return !aEntry.second.running_; });
  for (const ExchangeId exchange : exchanges) {
    HandleAbandoned(exchange);
  }
}

} // namespace fulmarway::standins
