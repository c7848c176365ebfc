/** \file
 * Simulation of a call graph of several services in virtual time: complete nodes, backend servers
 * that make downstream calls through their node, open-loop callers and a network with delay. For
 * load patterns that appear only over several hops.
 */
#pragma once

#include "policy/Reducer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace fulmarway::test {

/** The downstream calls of one kind that a request makes. */
struct DownstreamCalls
{
  std::string kind_;
  std::uint32_t times_ = 1;
  /** Concurrently instead of one after the other. */
  bool together_ = false;
};

struct ChainKind
{
  std::string name_;
  std::string service_;
  Importance importance_ = Importance::kNormal;
  /** Mean service time on a backend server of speed 1, without downstream calls. */
  double workMs_ = 20;
  Duration timeout_ = std::chrono::seconds(1);
  std::vector<DownstreamCalls> calls_ = {};
  /** Callers' requests per second as a function of the time in seconds; empty for kinds that only
   * backend servers call. */
  std::function<double(double)> rate_ = {};
  bool idempotent_ = true;
};

struct ChainService
{
  std::string name_;
  std::uint32_t servers_ = 1;
  std::uint32_t slots_ = 10;
  /** Speeds that are assigned to the backend servers in turn. */
  std::vector<double> speeds_ = { 1.0 };
  /** Share of their arrivals that the backend servers refuse at random without running them, as a
   * function of the time in seconds; empty for none. */
  std::function<double(double)> refusedShare_ = {};
};

struct ChainPlan
{
  std::vector<ChainService> services_;
  std::vector<ChainKind> kinds_;
  std::uint32_t domains_ = 1;
  std::uint64_t seed_ = 1;
  /** As in BackendRetrySettings. */
  std::uint32_t backendRetryPerMille_ = 0;
  /** How often a caller sends a request again that was refused as not run. It waits for the time
   * that the refusal names, if that is at most a third of the time that it has left. */
  std::uint32_t returns_ = 0;
};

/** Final outcomes of the callers' requests of one kind that were first sent in one second. */
struct ChainCounts
{
  std::uint32_t sent_ = 0;
  std::uint32_t answered_ = 0;
  /** Answered by the backend server with an error, or lost. */
  std::uint32_t failed_ = 0;
  /** Refused with the verdict not run. */
  std::uint32_t refused_ = 0;
};

class ChainSimulation
{
public:
  explicit ChainSimulation(ChainPlan aPlan);

  /** Advances virtual time. Callers send requests from the first call on. */
  void Run(Duration aTime);

  /** Sum over the seconds in [aFrom, aTo). */
  ChainCounts Count(const std::string& aKind, int aFrom, int aTo) const;

  /** Share of the backend servers' time that was spent on callers' requests that were not answered;
   * of the requests sent in these seconds. */
  double WastedShare(int aFrom, int aTo) const;

private:
  /** A request that a backend server is executing. */
  struct Task
  {
    BackendRequest request_;
    std::size_t kind_ = 0;
    /** Current entry of the kind's calls, and how many of its calls are done. */
    std::size_t step_ = 0;
    std::uint32_t done_ = 0;
    std::uint32_t open_ = 0;
    std::uint32_t nextCall_ = 0;
    Instant deadline_;
  };

  struct Scheduled
  {
    Instant at_;
    std::uint64_t order_ = 0;
    std::size_t node_ = 0;
    /** Called instead of delivering the event, when set. */
    std::function<void()> action_;
    EventBody body_;

    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  /** A caller's request without an outcome yet. */
  struct PendingRequest
  {
    std::size_t kind_ = 0;
    int second_ = 0;
    std::string rootRequestId_;
    Instant deadline_;
    std::uint32_t returns_ = 0;
  };

  /** Execution time of the backend servers, milliseconds. */
  struct WorkTime
  {
    double useful_ = 0;
    double wasted_ = 0;
  };

  void Schedule(Duration aDelay, std::size_t aNode, EventBody aBody);
  void ScheduleAction(Duration aDelay, std::function<void()> aAction);
  void DeliverEvent(std::size_t aNode, EventBody aBody);
  void ScheduleArrival(std::size_t aKind);
  void SendArrival(std::size_t aKind);
  void SendRequest(PendingRequest aRequest);
  bool ReturnsLater(const PendingRequest& aRequest, const Refusal& aRefusal);
  bool IsRefusedAtRandom(std::size_t aNode);
  void Work(std::size_t aNode, RequestId aId, double aShare, std::function<void()> aThen);
  void MakeCalls(std::size_t aNode, RequestId aId);
  void SendCall(std::size_t aNode, RequestId aId, const std::string& aKind);
  void EndCall(std::size_t aNode, RequestId aId, bool aIsAnswered);
  void FailRequest(std::size_t aNode, RequestId aId);
  void Deliver(std::size_t aNode, Effect& aEffect);
  void DeliverReply(const ReplyToCaller& aReply);
  std::size_t KindIndex(const std::string& aName) const;
  double Random();
  int Second() const;

  ChainPlan plan_;
  Instant now_;
  Instant start_;
  Instant nextTick_;
  bool sending_ = false;
  RandomStream random_;
  std::uint64_t nextOrder_ = 1;
  std::uint64_t nextExchange_ = 1;
  std::vector<NodeState> nodes_;
  std::vector<double> speeds_;
  std::vector<std::map<RequestId, Task>> tasks_;
  std::priority_queue<Scheduled> queue_;
  std::map<ExchangeId, PendingRequest> pendingRequests_;
  /** The node and the request that wait for the exchange of a downstream call. */
  std::map<ExchangeId, std::pair<std::size_t, RequestId>> callers_;
  std::map<std::pair<std::size_t, int>, ChainCounts> counts_;
  /** Execution time by root request, milliseconds, until its outcome is known. */
  std::map<std::string, double, std::less<>> workOfRootRequest_;
  std::map<int, WorkTime> workTimes_;
};

} // namespace fulmarway::test
