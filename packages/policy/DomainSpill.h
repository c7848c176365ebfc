/** \file
 * Decides which share of a failure domain's requests for a service leaves for which other domain.
 * Load pattern: callers surge in one domain while other domains have free slots. Each node decides
 * alone, from the load reports on the answers that it gets.
 */
#pragma once

#include "model/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway {

struct DomainSpillSettings
{
  /** Largest share of the requests for a service that may leave, percent. nullopt switches this
   * module off. */
  std::optional<std::uint32_t> maxPercent_;
  /** Waiting time that the transfer of one byte to another domain is worth, nanoseconds. With 50, a
   * request of 10 KB costs about as much as the network delay between domains, and one of 1 MB
   * leaves only if it would otherwise wait for over 50 ms. */
  std::uint32_t byteCostNs_ = 50;

  bool operator==(const DomainSpillSettings&) const = default;
};

/** What this node has observed of the servers of one service in one failure domain. */
struct DomainLoad
{
  std::uint32_t targets_ = 0;
  /** Targets with a recent load report, and the sums over their reports. */
  std::uint32_t reporting_ = 0;
  double limit_ = 0;
  double running_ = 0;
  double queued_ = 0;
  /** Mean time of an attempt with network delay and waiting, microseconds; 0 while unknown. */
  double timeUs_ = 0;
  /** The same over a long time; not affected by a recent slowdown. */
  double usualTimeUs_ = 0;
  /** Attempts are outstanding and nothing has come back for too long. */
  bool silent_ = false;

  bool operator==(const DomainLoad&) const = default;
};

enum class SpillReason : std::uint8_t
{
  kStays,
  /** The domain has more requests than its servers can take. */
  kOverload,
  /** The domain's servers have refused this request, or refuse it by their admission levels. */
  kRefusedAtHome,
  /** The domain's servers are much slower than those of the destination. */
  kSlow,
  /** To learn the load of a domain of which there is no recent report. */
  kProbe,
  /** The domain has no usable server of the service. */
  kNoServer,
};

inline constexpr std::size_t kSpillReasonCount = 6;

std::string_view
ToString(SpillReason aReason);

/** Requests are moved in the order of these ranks, the lowest first. Rank 0 is for requests that
 * the own domain refuses. */
inline constexpr std::size_t kMoveRanks = 24;

/** Rank of a request by the cost of its transfer and by its deadline: small requests that cannot
 * wait long leave first. */
std::uint8_t
MoveRank(std::size_t aBytes, Duration aDeadline, const DomainSpillSettings& aSettings);

/** Another failure domain as a destination for the requests of one service. */
struct SpillDestination
{
  /** Share of the own domain's requests that goes there now. */
  double share_ = 0;
  /** `share_` averaged over the same time as the reported loads, so that both describe the same
   * moment. */
  double recentShare_ = 0;
  /** Running and queued requests as a share of the slots, averaged. nullopt without a recent
   * report. */
  std::optional<double> use_;
  double timeUs_ = 0;
  /** The share is not raised before this time. */
  Instant holdUntil_;
  /** Requests sent there and those that were refused or lost, with exponential decay. */
  double sent_ = 0;
  double refused_ = 0;
  Instant nextProbeAt_;
  Duration probeInterval_{ 0 };

  bool operator==(const SpillDestination&) const = default;
};

struct ServiceSpill
{
  /** Requests that want to be served in the own domain, as a multiple of its capacity. */
  double demand_ = 0;
  /** Share of the requests that should leave if other domains had room for all of them. */
  double wanted_ = 0;
  bool isSlow_ = false;
  std::optional<double> homeUse_;
  double homeTimeUs_ = 0;
  /** Requests, those that left, and those that stayed and were refused, with exponential decay. */
  double offers_ = 0;
  double left_ = 0;
  double refusedAtHome_ = 0;
  /** Requests by move rank, with exponential decay. */
  std::array<double, kMoveRanks> offersByRank_{};
  std::map<std::string, SpillDestination> destinations_;
  Instant advancedAt_;
  /** Whether the last log line about this service said that requests leave. */
  bool isLeaving_ = false;

  bool operator==(const ServiceSpill&) const = default;
};

/** By service. A service is added with its first request, so the number is bounded by the
 * configuration. */
struct DomainSpillState
{
  DomainSpillSettings settings_;
  std::map<std::string, ServiceSpill> services_;
  Instant nextAdvanceAt_;

  bool operator==(const DomainSpillState&) const = default;
};

/** Updates the shares from the observed loads. aOthers holds the domains that have usable servers
 * of the service. */
ServiceSpill
AdvanceSpill(ServiceSpill aSpill,
             const DomainLoad& aHome,
             const std::map<std::string, DomainLoad>& aOthers,
             const DomainSpillSettings& aSettings,
             Instant aNow);

/** A request for which a domain is to be chosen. */
struct SpillRequest
{
  std::size_t bytes_ = 0;
  Duration deadline_{ 0 };
  /** The own domain has refused the request or would do so by its admission levels. */
  bool refusedAtHome_ = false;
  /** Another attempt can follow, so that the request may be used as a probe. */
  bool repeatable_ = false;
  /** Two random numbers in [0, 1). */
  double leaveDraw_ = 0;
  double domainDraw_ = 0;

  bool operator==(const SpillRequest&) const = default;
};

struct SpillChoice
{
  SpillReason reason_ = SpillReason::kStays;
  /** The destination; empty when the request stays. */
  std::string domain_;
  std::uint8_t rank_ = 0;

  auto operator<=>(const SpillChoice&) const = default;
};

/** Chooses the domain of a request; only among aAllowed. */
SpillChoice
ChooseDomain(const ServiceSpill& aSpill,
             const SpillRequest& aRequest,
             const std::vector<std::string>& aAllowed,
             const DomainSpillSettings& aSettings,
             Instant aNow);

/** Records the first attempt of a request, or a later one that leaves. */
ServiceSpill
RecordSpillChoice(ServiceSpill aSpill,
                  const SpillChoice& aChoice,
                  bool aIsFirstAttempt,
                  Instant aNow);

/** Records a refusal of a request that stayed, because of too much load. */
ServiceSpill
RecordRefusalAtHome(ServiceSpill aSpill);

/** Records that a request was refused in another domain, or lost; lowers the share at once. */
ServiceSpill
RecordSpillFailure(ServiceSpill aSpill, const std::string& aDomain, bool aIsLost, Instant aNow);

/** Share of the requests that leaves now, for all destinations together. */
double
LeavingShare(const ServiceSpill& aSpill);

} // namespace fulmarway
