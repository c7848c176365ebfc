#include "Caller.h"

#include "model/Verdict.h"
#include "support/AnswerBody.h"
#include "support/Random.h"

#include <algorithm>

namespace fulmarway::standins {

namespace {

/** Added to the deadline of an attempt to obtain its client timeout, so that a response sent just
 * before the deadline still arrives. */
constexpr std::chrono::milliseconds kGrace{ 250 };
/** Mean delay before a retry when the response has no Retry-After. */
constexpr std::chrono::milliseconds kDefaultPause{ 100 };

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
    Arrive(aKind, scheduled);
    ScheduleNext(aKind);
  });
}

void
Caller::Arrive(std::size_t aKind, Clock::time_point aScheduled)
{
  report_.lateness_.Add(
    std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - aScheduled));
  const ClickNumber number = nextClick_++;
  Click click;
  click.id_ = settings_.clickPrefix_ + "-" + std::to_string(number);
  click.kind_ = aKind;
  click.scheduled_ = aScheduled;
  KindReport& report = report_.kinds_[settings_.kinds_[aKind].path_];
  ++report.offered_;
  AddToSecond(report.offeredPerSecond_, aScheduled - start_);
  const bool ticketFirst = settings_.kinds_[aKind].once_ && !IsDirect(click);
  clicks_[number] = std::move(click);
  if (ticketFirst) {
    FetchTicket(number);
  } else {
    SendAttempt(number);
  }
}

bool
Caller::IsDirect(const Click& aClick) const
{
  const std::string& path = settings_.kinds_[aClick.kind_].path_;
  return settings_.direct_.contains(path.substr(0, path.find('/')));
}

const std::vector<Poco::Net::SocketAddress>&
Caller::EntriesOf(const Click& aClick) const
{
  const std::string& path = settings_.kinds_[aClick.kind_].path_;
  const auto found = settings_.direct_.find(path.substr(0, path.find('/')));
  return found == settings_.direct_.end() ? settings_.entries_ : found->second;
}

const Poco::Net::SocketAddress&
Caller::NextEntry(const Click& aClick)
{
  const auto& entries = EntriesOf(aClick);
  return entries[nextEntry_++ % entries.size()];
}

void
Caller::FetchTicket(ClickNumber aClick)
{
  Click& click = clicks_.at(aClick);
  HttpMessage request;
  request.target_ = "/v1/ticket/" + settings_.kinds_[click.kind_].path_;
  client_.Send(NextEntry(click),
               std::move(request),
               settings_.deadline_,
               [this, aClick](const CallResult& aResult) {
                 Click& current = clicks_.at(aClick);
                 if (aResult.response_) {
                   current.ticket_ =
                     FindHeader(*aResult.response_, "Fulmarway-Ticket").value_or("");
                 }
                 if (!current.ticket_.empty()) {
                   SendAttempt(aClick);
                 } else if (++current.refusedConnections_ <= EntriesOf(current).size()) {
                   FetchTicket(aClick);
                 } else {
                   ++report_.kinds_[settings_.kinds_[current.kind_].path_].reasons_["no-ticket"];
                   End(aClick, Outcome::kFailed);
                 }
               });
}

void
Caller::SendAttempt(ClickNumber aClick)
{
  const Click& click = clicks_.at(aClick);
  const KindLoad& kind = settings_.kinds_[click.kind_];
  HttpMessage request;
  request.target_ = (IsDirect(click) ? "/" : "/v1/call/") + kind.path_;
  request.headers_ = { { "Fulmarway-Click", click.id_ },
                       { "Fulmarway-Deadline-Ms", std::to_string(settings_.deadline_.count()) },
                       { "Fulmarway-Attempt", std::to_string(click.attempt_) } };
  if (kind.once_) {
    request.method_ = "POST";
    request.headers_.emplace_back("Content-Type", "text/plain");
    request.body_ = "confirm " + click.id_;
  }
  if (!click.ticket_.empty()) {
    request.headers_.emplace_back("Fulmarway-Ticket", click.ticket_);
  }
  ++report_.kinds_[kind.path_].attempts_;
  client_.Send(NextEntry(click),
               std::move(request),
               settings_.deadline_ + kGrace,
               [this, aClick](const CallResult& aResult) { HandleResult(aClick, aResult); });
}

Caller::AttemptEnd
Caller::Judge(const Click& aClick, const CallResult& aResult)
{
  KindReport& report = report_.kinds_[settings_.kinds_[aClick.kind_].path_];
  if (!aResult.response_) {
    if (aResult.failure_ == CallFailure::kCut) {
      return { Outcome::kWrong, {}, {} };
    }
    report.timeouts_ += aResult.failure_ == CallFailure::kTimeout ? 1 : 0;
    ++report.reasons_[aResult.failure_ == CallFailure::kTimeout ? "client-timeout"
                                                                : "client-connection"];
    // The request may have run, unless this attempt was never sent and every earlier one is proven
    // not to have run.
    const bool neverSent = aResult.failure_ == CallFailure::kNotConnected && aClick.provenNotRun_;
    return { neverSent ? Outcome::kNotRun : Outcome::kFailed, {}, {} };
  }
  const HttpMessage& response = *aResult.response_;
  if (IsSuccess(response.status_)) {
    const bool whole =
      CheckAnswerBody(response.body_, aClick.id_, settings_.kinds_[aClick.kind_].path_) ==
      AnswerCheck::kWhole;
    return { whole ? Outcome::kWhole : Outcome::kWrong, {}, {} };
  }
  AttemptEnd end;
  const auto verdict = ParseVerdict(FindHeader(response, "Fulmarway-Verdict").value_or(""));
  end.outcome_ = verdict ? OutcomeOf(*verdict) : Outcome::kFailed;
  if (const auto seconds = FindNumber(response, "Retry-After")) {
    end.retryAfter_ = std::chrono::duration<double>(*seconds);
  }
  end.newTicket_ = FindHeader(response, "Fulmarway-Ticket").value_or("");
  ++report.reasons_[FindHeader(response, "Fulmarway-Reason")
                      .value_or("status-" + std::to_string(response.status_))];
  return end;
}

void
Caller::HandleResult(ClickNumber aClick, const CallResult& aResult)
{
  Click& click = clicks_.at(aClick);
  if (aResult.failure_ == CallFailure::kNotConnected &&
      ++click.refusedConnections_ < EntriesOf(click).size()) {
    // Nothing was sent, so the same attempt goes to the next entry without counting as a retry.
    SendAttempt(aClick);
    return;
  }
  const AttemptEnd end = Judge(click, aResult);
  const bool once = settings_.kinds_[click.kind_].once_;
  if (end.outcome_ != Outcome::kNotRun) {
    click.provenNotRun_ = false;
  } else if (once && !click.ticket_.empty() && aResult.response_) {
    // The verdict covers every attempt with this ticket, and a ticket is replaced only after the
    // verdict not run.
    click.provenNotRun_ = true;
  }
  if (MayRepeat(click, end)) {
    Repeat(aClick, end);
  } else {
    // Without a ticket the verdict covers only the last attempt.
    const bool earlierMayHaveRun = end.outcome_ == Outcome::kNotRun && !click.provenNotRun_;
    End(aClick, earlierMayHaveRun ? Outcome::kMayHaveRun : end.outcome_);
  }
}

bool
Caller::MayRepeat(const Click& aClick, const AttemptEnd& aEnd) const
{
  if (aEnd.outcome_ == Outcome::kWhole || aEnd.outcome_ == Outcome::kWrong) {
    return false;
  }
  const bool once = settings_.kinds_[aClick.kind_].once_;
  return aClick.attempt_ <= (once ? settings_.onceRetries_ : settings_.retries_);
}

void
Caller::Repeat(ClickNumber aClick, const AttemptEnd& aEnd)
{
  Click& click = clicks_.at(aClick);
  ++click.attempt_;
  click.refusedConnections_ = 0;
  const bool ticketed = settings_.kinds_[click.kind_].once_ && !IsDirect(click);
  const bool freshTicket = ticketed && aEnd.outcome_ == Outcome::kNotRun;
  if (freshTicket) {
    click.ticket_ = aEnd.newTicket_;
  }
  const auto send = [this, aClick, fetch = freshTicket && click.ticket_.empty()] {
    if (fetch) {
      FetchTicket(aClick);
    } else {
      SendAttempt(aClick);
    }
  };
  if (settings_.aggressive_) {
    send();
    return;
  }
  const std::chrono::duration<double> pause = aEnd.retryAfter_.value_or(
    std::chrono::duration<double>(kDefaultPause) * (0.5 + DrawUniform(random_)));
  loop_.CallAfter(std::chrono::duration_cast<Clock::duration>(pause), send);
}

void
Caller::End(ClickNumber aClick, Outcome aOutcome)
{
  const auto found = clicks_.find(aClick);
  const Click& click = found->second;
  const std::string& path = settings_.kinds_[click.kind_].path_;
  KindReport& report = report_.kinds_[path];
  ++report.outcomes_[aOutcome];
  if (aOutcome == Outcome::kWhole) {
    const Clock::time_point now = Clock::now();
    report.latency_.Add(
      std::chrono::duration_cast<std::chrono::microseconds>(now - click.scheduled_));
    AddToSecond(report.wholeOfArrivals_, click.scheduled_ - start_);
    AddToSecond(report.wholePerSecond_, now - start_);
  }
  report_.clicks_[click.id_] = { path, aOutcome, click.provenNotRun_ && !IsDirect(click) };
  clicks_.erase(found);
  StopWhenDone();
}

void
Caller::StopWhenDone()
{
  if (openSchedules_ == 0 && clicks_.empty()) {
    loop_.Stop();
  }
}

} // namespace fulmarway::standins
