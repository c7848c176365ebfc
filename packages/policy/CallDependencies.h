/** \file
 * Which deeper calls the kinds of the own backend server cannot do without, learned from outcomes.
 */
#pragma once

#include "model/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** A kind of another service that a request calls. */
struct DeeperCall
{
  std::string service_;
  std::string kind_;

  auto operator<=>(const DeeperCall&) const = default;
};

/** Outcomes of the requests whose deeper call was refused, with decreasing weight. */
struct DependencyOutcomes
{
  double ended_ = 0;
  double failed_ = 0;

  bool operator==(const DependencyOutcomes&) const = default;
};

/** Kinds are given by StableHash() of their name. */
struct CallDependencies
{
  std::map<std::uint64_t, std::map<DeeperCall, DependencyOutcomes>> byKind_;

  bool operator==(const CallDependencies&) const = default;
};

/** Deeper calls that are tracked for one kind, and kinds that are tracked; more are not learned. */
inline constexpr std::size_t kMaxDeeperCalls = 16;
inline constexpr std::size_t kMaxDependentKinds = 256;

/** A request of a kind ended after its deeper call was refused. */
CallDependencies
NoteRefusedCall(CallDependencies aState,
                std::uint64_t aKindKey,
                const DeeperCall& aCall,
                bool aHasFailed);

/** The deeper calls without which most requests of the kind fail. A backend server that answers
 * without a call that was refused does not depend on it. */
std::vector<DeeperCall>
RequiredCalls(const CallDependencies& aState, std::uint64_t aKindKey);

} // namespace fulmarway
