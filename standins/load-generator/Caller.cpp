#include "Caller.h"

#include "model/Verdict.h"
#include "support/AnswerBody.h"
#include "support/Random.h"

#include <algorithm>

namespace fulmarway::standins {

namespace {

/** Added to the deadline of an attempt to obtain its client timeout, so that a response sent just
 * before the deadline still arrives. */
constexpr std::chrono::milliseconds kAnswerTransitMargin{ 250 };
/** Mean delay before a retry when the response has no Retry-After. */
constexpr std::chrono::milliseconds kMeanRetryDelay{ 100 };

/** An error with the verdict kRan is a response of the backend server. Still, Outcome::kFailed
 * asserts nothing about execution: it also stands for a missing verdict, response or ticket. */
Outcome
OutcomeOf(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kNotRun:
      return Outcome::kNotRun;
    case Verdict::kMayHaveRun:
      return Outcome::kMayHaveRun;
    case Verdict::kRan:
      break;
  }
  return Outcome::kFailed;
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

Caller::Caller(EventLoop& aLoop, CallerSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , client_(aLoop, { settings_.connectionsPerEntry_ })
  , start_(Clock::now())
  , random_(settings_.seed_)
{
  std::uint64_t seed = settings_.seed_;
  for (const KindLoad& kind : settings_.kinds_) {
    schedules_.emplace_back(kind.rate_, kind.steps_, settings_.duration_, ++seed);
    report_.kinds_[kind.path_];
  }
  openSchedules_ = schedules_.size();
  for (std::size_t kind = 0; kind < schedules_.size(); ++kind) {
    ScheduleNext(kind);
  }
  StopWhenDone();
}

void
Caller::ScheduleNext(std::size_t aKind)
{
  const auto next = schedules_[aKind].Next();
  if (!next) {
    --openSchedules_;
    StopWhenDone();
    return;
  }
  const Clock::time_point scheduled = start_ + *next;
  loop_.CallAt(scheduled, [this, aKind, scheduled] {
    StartRootRequest(aKind, scheduled);
    ScheduleNext(aKind);
  });
}

void
Caller::StartRootRequest(std::size_t aKind, Clock::time_point aScheduled)
{
  report_.lateness_.Add(
    std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - aScheduled));
  const RootRequestNumber number = nextRootRequest_++;
  RootRequest rootRequest;
  rootRequest.id_ = settings_.rootRequestIdPrefix_ + "-" + std::to_string(number);
  rootRequest.kind_ = aKind;
  rootRequest.scheduled_ = aScheduled;
  KindReport& report = report_.kinds_[settings_.kinds_[aKind].path_];
  ++report.offered_;
  AddToSecond(report.offeredPerSecond_, aScheduled - start_);
  const bool ticketFirst = settings_.kinds_[aKind].atMostOnce_ && !IsDirect(rootRequest);
  rootRequests_[number] = std::move(rootRequest);
  if (ticketFirst) {
    FetchTicket(number);
  } else {
    SendAttempt(number);
  }
}

bool
Caller::IsDirect(const RootRequest& aRootRequest) const
{
  const std::string& path = settings_.kinds_[aRootRequest.kind_].path_;
  return settings_.direct_.contains(path.substr(0, path.find('/')));
}

const std::vector<Poco::Net::SocketAddress>&
Caller::EntriesOf(const RootRequest& aRootRequest) const
{
  const std::string& path = settings_.kinds_[aRootRequest.kind_].path_;
  const auto found = settings_.direct_.find(path.substr(0, path.find('/')));
  return found == settings_.direct_.end() ? settings_.entries_ : found->second;
}

const Poco::Net::SocketAddress&
Caller::NextEntry(const RootRequest& aRootRequest)
{
  const auto& entries = EntriesOf(aRootRequest);
  return entries[nextEntry_++ % entries.size()];
}

void
Caller::FetchTicket(RootRequestNumber aNumber)
{
  RootRequest& rootRequest = rootRequests_.at(aNumber);
  HttpMessage request;
  request.target_ = "/v1/ticket/" + settings_.kinds_[rootRequest.kind_].path_;
  client_.Send(NextEntry(rootRequest),
               std::move(request),
               settings_.deadline_,
               [this, aNumber](const CallResult& aResult) {
                 RootRequest& current = rootRequests_.at(aNumber);
                 if (aResult.response_) {
                   current.ticket_ =
                     FindHeader(*aResult.response_, "Fulmarway-Ticket").value_or("");
                 }
                 if (!current.ticket_.empty()) {
                   SendAttempt(aNumber);
                 } else if (++current.refusedConnections_ <= EntriesOf(current).size()) {
                   FetchTicket(aNumber);
                 } else {
                   ++report_.kinds_[settings_.kinds_[current.kind_].path_].reasons_["no-ticket"];
                   FinishRootRequest(aNumber, Outcome::kFailed);
                 }
               });
}

void
Caller::SendAttempt(RootRequestNumber aNumber)
{
  const RootRequest& rootRequest = rootRequests_.at(aNumber);
  const KindLoad& kind = settings_.kinds_[rootRequest.kind_];
  HttpMessage request;
  request.target_ = (IsDirect(rootRequest) ? "/" : "/v1/call/") + kind.path_;
  // Fulmarway-Click carries the root request id.
  request.headers_ = { { "Fulmarway-Click", rootRequest.id_ },
                       { "Fulmarway-Deadline-Ms", std::to_string(settings_.deadline_.count()) },
                       { "Fulmarway-Attempt", std::to_string(rootRequest.attempt_) } };
  if (kind.atMostOnce_) {
    request.method_ = "POST";
    request.headers_.emplace_back("Content-Type", "text/plain");
    request.body_ = "confirm " + rootRequest.id_;
  }
  if (!rootRequest.ticket_.empty()) {
    request.headers_.emplace_back("Fulmarway-Ticket", rootRequest.ticket_);
  }
  ++report_.kinds_[kind.path_].attempts_;
  client_.Send(NextEntry(rootRequest),
               std::move(request),
               settings_.deadline_ + kAnswerTransitMargin,
               [this, aNumber](const CallResult& aResult) { HandleResult(aNumber, aResult); });
}

Caller::AttemptResult
Caller::ClassifyAttempt(const RootRequest& aRootRequest, const CallResult& aResult)
{
  KindReport& report = report_.kinds_[settings_.kinds_[aRootRequest.kind_].path_];
  if (!aResult.response_) {
    if (aResult.failure_ == CallFailure::kTruncated) {
      return { Outcome::kWrong, {}, {} };
    }
    report.timeouts_ += aResult.failure_ == CallFailure::kTimeout ? 1 : 0;
    ++report.reasons_[aResult.failure_ == CallFailure::kTimeout ? "client-timeout"
                                                                : "client-connection"];
    // The request may have run, unless this attempt was never sent and every earlier one is proven
    // not to have run. Otherwise it counts as kFailed, since kMayHaveRun requires a verdict.
    const bool neverSent =
      aResult.failure_ == CallFailure::kNotConnected && aRootRequest.provenNotRun_;
    return { neverSent ? Outcome::kNotRun : Outcome::kFailed, {}, {} };
  }
  const HttpMessage& response = *aResult.response_;
  if (IsSuccess(response.status_)) {
    const bool complete =
      CheckAnswerBody(response.body_,
                      aRootRequest.id_,
                      settings_.kinds_[aRootRequest.kind_].path_) == AnswerCheck::kComplete;
    return { complete ? Outcome::kWhole : Outcome::kWrong, {}, {} };
  }
  AttemptResult attemptResult;
  const auto verdict = ParseVerdict(FindHeader(response, "Fulmarway-Verdict").value_or(""));
  attemptResult.outcome_ = verdict ? OutcomeOf(*verdict) : Outcome::kFailed;
  if (const auto seconds = FindNumericHeader(response, "Retry-After")) {
    attemptResult.retryAfter_ = std::chrono::duration<double>(*seconds);
  }
  attemptResult.newTicket_ = FindHeader(response, "Fulmarway-Ticket").value_or("");
  ++report.reasons_[FindHeader(response, "Fulmarway-Reason")
                      .value_or("status-" + std::to_string(response.status_))];
  return attemptResult;
}

void
Caller::HandleResult(RootRequestNumber aNumber, const CallResult& aResult)
{
  RootRequest& rootRequest = rootRequests_.at(aNumber);
  if (aResult.failure_ == CallFailure::kNotConnected &&
      ++rootRequest.refusedConnections_ < EntriesOf(rootRequest).size()) {
    // Nothing was sent, so the same attempt goes to the next entry without counting as a retry.
    SendAttempt(aNumber);
    return;
  }
  const AttemptResult attemptResult = ClassifyAttempt(rootRequest, aResult);
  const bool atMostOnce = settings_.kinds_[rootRequest.kind_].atMostOnce_;
  if (attemptResult.outcome_ != Outcome::kNotRun) {
    rootRequest.provenNotRun_ = false;
  } else if (atMostOnce && !rootRequest.ticket_.empty() && aResult.response_) {
    // The verdict covers every attempt with this ticket, and a ticket is replaced only after the
    // verdict not run.
    rootRequest.provenNotRun_ = true;
  }
  if (MayRetry(rootRequest, attemptResult)) {
    ScheduleRetry(aNumber, attemptResult);
  } else {
    // Without a ticket the verdict covers only the last attempt.
    const bool earlierMayHaveRun =
      attemptResult.outcome_ == Outcome::kNotRun && !rootRequest.provenNotRun_;
    FinishRootRequest(aNumber, earlierMayHaveRun ? Outcome::kMayHaveRun : attemptResult.outcome_);
  }
}

bool
Caller::MayRetry(const RootRequest& aRootRequest, const AttemptResult& aAttemptResult) const
{
  if (aAttemptResult.outcome_ == Outcome::kWhole || aAttemptResult.outcome_ == Outcome::kWrong) {
    return false;
  }
  const bool atMostOnce = settings_.kinds_[aRootRequest.kind_].atMostOnce_;
  return aRootRequest.attempt_ <= (atMostOnce ? settings_.atMostOnceRetries_ : settings_.retries_);
}

void
Caller::ScheduleRetry(RootRequestNumber aNumber, const AttemptResult& aAttemptResult)
{
  RootRequest& rootRequest = rootRequests_.at(aNumber);
  ++rootRequest.attempt_;
  rootRequest.refusedConnections_ = 0;
  const bool ticketed = settings_.kinds_[rootRequest.kind_].atMostOnce_ && !IsDirect(rootRequest);
  const bool needsNewTicket = ticketed && aAttemptResult.outcome_ == Outcome::kNotRun;
  if (needsNewTicket) {
    rootRequest.ticket_ = aAttemptResult.newTicket_;
  }
  const auto send = [this, aNumber, fetchTicket = needsNewTicket && rootRequest.ticket_.empty()] {
    if (fetchTicket) {
      FetchTicket(aNumber);
    } else {
      SendAttempt(aNumber);
    }
  };
  if (settings_.aggressive_) {
    send();
    return;
  }
  const std::chrono::duration<double> delay = aAttemptResult.retryAfter_.value_or(
    std::chrono::duration<double>(kMeanRetryDelay) * (0.5 + DrawUniform(random_)));
  loop_.CallAfter(std::chrono::duration_cast<Clock::duration>(delay), send);
}

void
Caller::FinishRootRequest(RootRequestNumber aNumber, Outcome aOutcome)
{
  const auto found = rootRequests_.find(aNumber);
  const RootRequest& rootRequest = found->second;
  const std::string& path = settings_.kinds_[rootRequest.kind_].path_;
  KindReport& report = report_.kinds_[path];
  ++report.outcomes_[aOutcome];
  if (aOutcome == Outcome::kWhole) {
    const Clock::time_point now = Clock::now();
    report.latency_.Add(
      std::chrono::duration_cast<std::chrono::microseconds>(now - rootRequest.scheduled_));
    AddToSecond(report.wholeOfArrivals_, rootRequest.scheduled_ - start_);
    AddToSecond(report.wholePerSecond_, now - start_);
  }
  report_.rootRequests_[rootRequest.id_] = { path,
                                             aOutcome,
                                             rootRequest.provenNotRun_ && !IsDirect(rootRequest) };
  rootRequests_.erase(found);
  StopWhenDone();
}

void
Caller::StopWhenDone()
{
  if (openSchedules_ == 0 && rootRequests_.empty()) {
    loop_.Stop();
  }
}

} // namespace fulmarway::standins
