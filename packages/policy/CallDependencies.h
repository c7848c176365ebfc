/** \file
 * Learns from outcomes which downstream calls the kinds of the local backend server require, and
 * from the calls of finished requests how many of each they make.
 */
#pragma once

#include "model/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** A kind of another service that a request calls during its execution. */
struct DownstreamCall
{
  std::string service_;
  std::string kind_;

  auto operator<=>(const DownstreamCall&) const = default;
};

/** What the requests of a kind did with one downstream call; exponentially decayed. */
struct DependencyOutcomes
{
  /** Requests that ended after the call was refused, and those of them that failed. */
  double ended_ = 0;
  double failed_ = 0;
  /** Requests that finished without a failure, and how many of these calls they made. */
  double finished_ = 0;
  double calls_ = 0;

  bool operator==(const DependencyOutcomes&) const = default;
};

/** Outcomes by kind and downstream call. A kind is identified by the StableHash() of its name. */
struct CallDependencies
{
  std::map<std::uint64_t, std::map<DownstreamCall, DependencyOutcomes>> byKind_;

  bool operator==(const CallDependencies&) const = default;
};

/** Bounds on the downstream calls tracked per kind and on the tracked kinds; further ones are
 * ignored. */
inline constexpr std::size_t kMaxDownstreamCalls = 16;
inline constexpr std::size_t kMaxDependentKinds = 256;

/** Records the outcome of a request after one of its downstream calls was refused. */
CallDependencies
RecordRefusedCall(CallDependencies aState,
                  std::uint64_t aKindKey,
                  const DownstreamCall& aCall,
                  bool aHasFailed);

/** Records the calls that a request made which finished without a failure. A request that failed is
 * left out, because it ends before its remaining calls. */
CallDependencies
RecordFinishedRequest(CallDependencies aState,
                      std::uint64_t aKindKey,
                      const std::map<DownstreamCall, std::uint32_t>& aCalls);

/** Mean number of these calls in a finished request of the kind; 1 while no request has finished.
 */
double
MeanCalls(const CallDependencies& aState, std::uint64_t aKindKey, const DownstreamCall& aCall);

/** The downstream calls without which most requests of the kind fail. A call is not required if the
 * backend server still answers successfully when it is refused. */
std::vector<DownstreamCall>
RequiredCalls(const CallDependencies& aState, std::uint64_t aKindKey);

} // namespace fulmarway
