/** \file
 * Learns from outcomes which downstream calls the kinds of the local backend server require.
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

/** Outcomes of the requests that had a downstream call refused; exponentially decayed. */
struct DependencyOutcomes
{
  double ended_ = 0;
  double failed_ = 0;

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

/** The downstream calls without which most requests of the kind fail. A call is not required if the
 * backend server still answers successfully when it is refused. */
std::vector<DownstreamCall>
RequiredCalls(const CallDependencies& aState, std::uint64_t aKindKey);

} // namespace fulmarway
