/** \file
 * An open-loop caller: sends each root request at its scheduled time and retries it until it has a
 * final outcome.
 */
#pragma once

#include "support/Report.h"

#include "support/ArrivalSchedule.h"
#include "support/HttpClient.h"
#include "support/Text.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmarway::standins {

struct KindLoad
{
  /** "service/kind". */
  std::string path_;
  /** Root requests per second before the first step. */
  double rate_ = 0;
  std::vector<RateStep> steps_;
  /** Must execute at most once: the caller fetches a ticket first and retries with it. */
  bool atMostOnce_ = false;
};

struct CallerSettings
{
  std::vector<KindLoad> kinds_;
  /** Entry nodes, used in turn. */
  std::vector<Poco::Net::SocketAddress> entries_;
  /** Backend servers by service that are called directly instead, for baselines without nodes. */
  ServiceAddresses direct_;
  std::chrono::nanoseconds duration_{ 0 };
  /** Maximum number of caller retries of a root request. */
  std::uint32_t retries_ = 0;
  /** The same for kinds that must execute at most once. */
  std::uint32_t atMostOnceRetries_ = 2;
  /** Retries immediately and ignores Retry-After (docs/design.md, fault F1). */
  bool aggressive_ = false;
  /** Of each attempt. */
  std::chrono::milliseconds deadline_{ 1000 };
  std::size_t connectionsPerEntry_ = 800;
  std::uint64_t seed_ = 1;
  std::string rootRequestIdPrefix_ = "c";
};

class Caller
{
public:
  /** Schedules the load on aLoop. Calls EventLoop::Stop() when every root request has its outcome.
   */
  Caller(EventLoop& aLoop, CallerSettings aSettings);

  Report ExtractReport() { return std::move(report_); }

private:
  using Clock = EventLoop::Clock;

  struct RootRequest
  {
    std::string id_;
    std::size_t kind_ = 0;
    Clock::time_point scheduled_;
    std::uint32_t attempt_ = 1;
    /** Tries of this attempt at which an entry refused the connection or returned no ticket. */
    std::uint32_t refusedConnections_ = 0;
    std::string ticket_;
    /** The verdicts so far prove that no attempt has run. */
    bool provenNotRun_ = true;
  };
  using RootRequestNumber = std::uint64_t;

  /** Result of one attempt, from which HandleResult() decides about a retry. */
  struct AttemptResult
  {
    Outcome outcome_ = Outcome::kFailed;
    std::optional<std::chrono::duration<double>> retryAfter_;
    std::string newTicket_;
  };

  void ScheduleNext(std::size_t aKind);
  void StartRootRequest(std::size_t aKind, Clock::time_point aScheduled);
  void FetchTicket(RootRequestNumber aNumber);
  void SendAttempt(RootRequestNumber aNumber);
  void HandleResult(RootRequestNumber aNumber, const CallResult& aResult);
  AttemptResult ClassifyAttempt(const RootRequest& aRootRequest, const CallResult& aResult);
  void ScheduleRetry(RootRequestNumber aNumber, const AttemptResult& aAttemptResult);
  bool MayRetry(const RootRequest& aRootRequest, const AttemptResult& aAttemptResult) const;
  void FinishRootRequest(RootRequestNumber aNumber, Outcome aOutcome);
  void StopWhenDone();
  const Poco::Net::SocketAddress& NextEntry(const RootRequest& aRootRequest);
  const std::vector<Poco::Net::SocketAddress>& EntriesOf(const RootRequest& aRootRequest) const;
  bool IsDirect(const RootRequest& aRootRequest) const;

  EventLoop& loop_;
  CallerSettings settings_;
  HttpClient client_;
  Clock::time_point start_;
  std::vector<ArrivalSchedule> schedules_;
  std::size_t openSchedules_ = 0;
  RootRequestNumber nextRootRequest_ = 1;
  std::size_t nextEntry_ = 0;
  std::mt19937_64 random_;
  std::unordered_map<RootRequestNumber, RootRequest> rootRequests_;
  Report report_;
};

} // namespace fulmarway::standins
