/** \file
 * A simulated backend server: waits for a drawn service time instead of working, then makes
 * downstream calls.
 */
#pragma once

#include "ExecutionRecorder.h"
#include "Plan.h"

#include "support/HttpClient.h"
#include "support/HttpServer.h"
#include "support/Text.h"

#include <deque>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace fulmarway::standins {

struct BackendSettings
{
  Poco::Net::SocketAddress listen_;
  /** Maximum number of requests executed concurrently. A request holds its slot during its
   * downstream calls. */
  std::size_t slots_ = 8;
  /** Maximum length of the FIFO queue of requests that wait for a slot; nullopt for no bound. */
  std::optional<std::size_t> queueLimit_;
  Plan plan_;
  std::set<std::string> atMostOncePaths_;
  Distribution distribution_ = Distribution::kExponential;
  std::uint64_t seed_ = 1;
  std::chrono::milliseconds coldStart_{ 0 };
  /** The local node, which routes downstream calls. */
  std::optional<Poco::Net::SocketAddress> node_;
  /** Backend servers by downstream service that are called directly instead of through a node, for
   * baselines without nodes. */
  ServiceAddresses peers_;
  /** Maximum number of retries of a failed direct call. */
  std::size_t callRetries_ = 0;
  /** Timeout of a downstream call when the request has no deadline. */
  std::chrono::milliseconds callTimeout_{ 2000 };
  /** Continues a request after its caller has closed the connection, like a server that does not
   * detect the disconnect. */
  bool keepAbandoned_ = false;
  /** Interim answers (1xx) that precede each answer, half of them when the request starts. */
  std::size_t interimAnswers_ = 0;
  /** One in so many answers has a status that is no answer; 0 for none. */
  std::size_t invalidStatusEvery_ = 0;
};

class BackendServer
{
public:
  BackendServer(EventLoop& aLoop, BackendSettings aSettings);

private:
  using Clock = EventLoop::Clock;
  using ExchangeId = HttpServer::ExchangeId;

  struct ActiveRequest
  {
    const KindPlan* kind_ = nullptr;
    std::string rootRequestId_;
    std::string parent_;
    std::optional<Clock::time_point> deadline_;
    bool running_ = false;
    Clock::time_point started_;
    double workMs_ = 0;
    std::uint64_t sequence_ = 0;
    EventLoop::TimerId timer_;
    std::size_t nextCall_ = 0;
    std::size_t callAttempts_ = 0;
    HttpClient::CallId call_ = 0;
  };

  void HandleRequest(ExchangeId aExchange, const HttpMessage& aRequest);
  void HandleControl(ExchangeId aExchange, const HttpMessage& aRequest);
  void HandleKindRequest(ExchangeId aExchange, const HttpMessage& aRequest);
  void HandleAbandoned(ExchangeId aExchange);
  void SendInterimAnswers(ExchangeId aExchange, std::size_t aCount);
  void Start(ExchangeId aExchange);
  void MakeNextDownstreamCall(ExchangeId aExchange);
  void HandleCallResult(ExchangeId aExchange, const CallResult& aResult);
  void Finish(ExchangeId aExchange, HttpMessage aResponse);
  /** Removes a finished or abandoned request and starts queued requests in the freed slot. */
  void Release(ExchangeId aExchange);
  void StartQueued();
  void SetDown(bool aDown);
  bool IsCold() const { return Clock::now() < warmAt_; }
  std::optional<Poco::Net::SocketAddress> DownstreamAddress(const std::string& aService);

  EventLoop& loop_;
  BackendSettings settings_;
  ExecutionRecorder executionRecorder_;
  HttpServer server_;
  HttpClient client_;
  std::mt19937_64 random_;
  Clock::time_point warmAt_;
  std::unordered_map<ExchangeId, ActiveRequest> activeRequests_;
  std::deque<ExchangeId> queue_;
  std::size_t running_ = 0;
  double slowFactor_ = 1;
  Clock::time_point slowUntil_;
  bool down_ = false;
  std::size_t nextPeer_ = 0;
  std::size_t finished_ = 0;
};

} // namespace fulmarway::standins
