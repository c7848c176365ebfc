/** \file
 * A simulated backend server: sleeps instead of working, and makes deeper calls.
 */
#pragma once

#include "Ledger.h"
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
  /** Requests in work at the same time, including their deeper calls. */
  std::size_t slots_ = 8;
  /** Requests that wait for a slot, first in first out; nullopt for no bound. */
  std::optional<std::size_t> queueLimit_;
  Plan plan_;
  std::set<std::string> oncePaths_;
  Distribution distribution_ = Distribution::kExponential;
  std::uint64_t seed_ = 1;
  std::chrono::milliseconds coldStart_{ 0 };
  /** The node that takes deeper calls. */
  std::optional<Poco::Net::SocketAddress> node_;
  /** Backend servers that are called directly instead, for baselines without nodes. */
  ServiceAddresses peers_;
  /** Repeats of a failed direct call. */
  std::size_t callRetries_ = 0;
  /** Used for deeper calls when the request has no deadline. */
  std::chrono::milliseconds callTimeout_{ 2000 };
  /** Work goes on after its caller has closed the connection, as in servers that do not notice. */
  bool keepAbandoned_ = false;
};

class BackendServer
{
public:
  BackendServer(EventLoop& aLoop, BackendSettings aSettings);

private:
  using Clock = EventLoop::Clock;
  using ExchangeId = HttpServer::ExchangeId;

  struct Work
  {
    const KindPlan* kind_ = nullptr;
    std::string click_;
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
  void HandleWork(ExchangeId aExchange, const HttpMessage& aRequest);
  void HandleAbandoned(ExchangeId aExchange);
  void Start(ExchangeId aExchange);
  void MakeNextCall(ExchangeId aExchange);
  void HandleCallResult(ExchangeId aExchange, const CallResult& aResult);
  void Finish(ExchangeId aExchange, const HttpMessage& aResponse);
  /** Ends the work and starts queued work in the freed slot. */
  void Release(ExchangeId aExchange);
  void StartQueued();
  void SetDown(bool aDown);
  bool IsCold() const { return Clock::now() < warmAt_; }
  std::optional<Poco::Net::SocketAddress> CallAddress(const std::string& aService);

  EventLoop& loop_;
  BackendSettings settings_;
  Ledger ledger_;
  HttpServer server_;
  HttpClient client_;
  std::mt19937_64 random_;
  Clock::time_point warmAt_;
  std::unordered_map<ExchangeId, Work> works_;
  std::deque<ExchangeId> queue_;
  std::size_t running_ = 0;
  double slowFactor_ = 1;
  Clock::time_point slowUntil_;
  bool down_ = false;
  std::size_t nextPeer_ = 0;
};

} // namespace fulmarway::standins
