#include "BackendSimulation.h"

#include <cmath>
#include <random>

namespace fulmarway {

namespace {

constexpr std::int64_t kWindowMs = 100;
constexpr std::uint32_t kRequestsPerProbe = 50;

struct SimulatedRequest
{
  Arrival arrival_;
  double remainingMs_ = 0;
  std::size_t window_ = 0;
};

struct Simulator
{
  const SimulationPlan& plan_;
  std::mt19937_64 random_{ 20261204 };
  AdmissionState state_;
  std::uint64_t nextId_ = 1;
  std::map<RequestId, SimulatedRequest> known_;
  std::map<RequestId, SimulatedRequest> running_;
  std::vector<SimulationWindow> windows_;

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void Apply(Step<AdmissionState, AdmissionDecision> aStep)
  {
    state_ = std::move(aStep.state_);
    for (const RequestId id : aStep.result_.start_) {
      running_.emplace(id, known_.at(id));
      known_.erase(id);
      windows_.back().started_ += 1;
    }
    for (const ShedRequest& shed : aStep.result_.shed_) {
      known_.erase(shed.id_);
    }
  }

  SimulatedRequest Draw(Instant aNow)
  {
    const double draw = Uniform();
    std::size_t importance = 0;
    double sum = plan_.mix_[0];
    while (importance + 1 < kImportanceCount && draw >= sum) {
      sum += plan_.mix_.at(++importance);
    }
    const bool isLong = Uniform() < plan_.longShare_;
    const double factor = plan_.exponential_ ? -std::log(1 - Uniform()) : 0.8 + 0.4 * Uniform();
    const double straggler = isLong || Uniform() < plan_.stragglers_ ? 100 : 1;
    const auto bucket = static_cast<std::uint8_t>(random_() % kRootRequestBuckets);
    return { { RequestId{ nextId_++ },
               isLong ? 2U : 1U,
               static_cast<Importance>(importance),
               bucket,
               aNow + std::chrono::milliseconds(plan_.deadlineMs_),
               isLong },
             plan_.serviceMs_ * factor * straggler,
             windows_.size() - 1 };
  }

  void OfferOne(Instant aNow)
  {
    const SimulatedRequest request = Draw(aNow);
    const Arrival& arrival = request.arrival_;
    windows_.back().offered_.at(static_cast<std::size_t>(arrival.importance_)) += 1;
    if (plan_.entryLevel_ &&
        !IsAdmitted(LevelOf(state_), arrival.importance_, arrival.rootRequestBucket_) &&
        random_() % kRequestsPerProbe != 0) {
      return;
    }
    known_.emplace(arrival.id_, request);
    Apply(Offer(std::move(state_), arrival, aNow));
  }

  void Work(double aSeconds, Instant aNow)
  {
    const double share = plan_.processors_(aSeconds) / static_cast<double>(running_.size() + 1);
    const double speed = std::min(1.0, share) / plan_.slowdown_(aSeconds);
    std::vector<std::pair<RequestId, CompletionKind>> ended;
    for (auto& [id, request] : running_) {
      windows_.back().workMs_ += std::min(speed, request.remainingMs_);
      request.remainingMs_ -= speed;
      if (request.remainingMs_ <= 0) {
        const auto importance = static_cast<std::size_t>(request.arrival_.importance_);
        windows_.at(request.window_).succeeded_.at(importance) += 1;
        ended.emplace_back(id, CompletionKind::kSucceeded);
      } else if (request.arrival_.deadline_ <= aNow) {
        windows_.back().abandoned_ += 1;
        ended.emplace_back(id, CompletionKind::kAbandoned);
      }
    }
    for (const auto& [id, kind] : ended) {
      running_.erase(id);
      Apply(Finish(std::move(state_), id, kind, aNow));
    }
  }

  void Run()
  {
    state_ = MakeAdmission(plan_.settings_, Instant{});
    for (std::int64_t ms = 0; ms < plan_.durationMs_; ++ms) {
      const Instant now{ std::chrono::milliseconds(ms) };
      if (ms % kWindowMs == 0) {
        windows_.emplace_back();
        Apply(Advance(std::move(state_), now));
      }
      const double seconds = static_cast<double>(ms) / 1000;
      Work(seconds, now);
      std::poisson_distribution<int> arrivals(plan_.rate_(seconds) / 1000);
      for (int left = arrivals(random_); left > 0; --left) {
        OfferOne(now);
      }
      windows_.back().limit_ = LimitOf(state_);
      windows_.back().level_ = LevelOf(state_).admitBelow_;
    }
  }
};

} // namespace

std::vector<SimulationWindow>
Simulate(const SimulationPlan& aPlan)
{
  Simulator simulator{ .plan_ = aPlan };
  simulator.Run();
  return simulator.windows_;
}

SimulationWindow
SumWindows(const std::vector<SimulationWindow>& aWindows, double aFrom, double aTo)
{
  SimulationWindow sum;
  for (std::size_t i = 0; i < aWindows.size(); ++i) {
    const double start = static_cast<double>(i) * kWindowMs / 1000;
    if (start < aFrom || start >= aTo) {
      continue;
    }
    for (std::size_t c = 0; c < kImportanceCount; ++c) {
      sum.offered_.at(c) += aWindows[i].offered_.at(c);
      sum.succeeded_.at(c) += aWindows[i].succeeded_.at(c);
    }
    sum.started_ += aWindows[i].started_;
    sum.abandoned_ += aWindows[i].abandoned_;
    sum.workMs_ += aWindows[i].workMs_;
  }
  return sum;
}

} // namespace fulmarway
