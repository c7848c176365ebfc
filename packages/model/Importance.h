/** \file
 * Importance classes of requests and the admission level, which selects the requests to shed.
 */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace fulmarway {

/** Importance of a request; a lower value is more important. */
enum class Importance : std::uint8_t
{
  kCritical = 0,
  kHigh = 1,
  kNormal = 2,
  kLow = 3,
};

inline constexpr std::size_t kImportanceCount = 4;
inline constexpr std::array<Importance, kImportanceCount> kAllImportances = { Importance::kCritical,
                                                                              Importance::kHigh,
                                                                              Importance::kNormal,
                                                                              Importance::kLow };

std::string_view
ToString(Importance aImportance);

std::optional<Importance>
ParseImportance(std::string_view aText);

/** Root requests are hashed into this many buckets, so that a class can be shed in small parts. */
inline constexpr std::uint8_t kRootRequestBuckets = 64;

/** Bucket of a root request, in [0, kRootRequestBuckets); the same on every node. */
std::uint8_t
RootRequestBucket(std::string_view aRootRequestId);

/** Rank of a request for shedding, by class, then by bucket of its root request. Requests with
 * higher ranks are shed first. */
constexpr std::uint16_t
AdmissionRank(Importance aImportance, std::uint8_t aRootRequestBucket)
{
  return static_cast<std::uint16_t>(static_cast<std::uint16_t>(aImportance) * kRootRequestBuckets +
                                    aRootRequestBucket);
}

/** Requests with a rank of `admitBelow_` or more are refused. */
struct AdmissionLevel
{
  std::uint16_t admitBelow_ = kImportanceCount * kRootRequestBuckets;

  auto operator<=>(const AdmissionLevel&) const = default;
};

/** The strictest level. It admits class `critical`, which is never shed by level. */
inline constexpr AdmissionLevel kLowestAdmissionLevel{ kRootRequestBuckets };
inline constexpr AdmissionLevel kHighestAdmissionLevel{ kImportanceCount * kRootRequestBuckets };

constexpr bool
IsAdmitted(AdmissionLevel aLevel, Importance aImportance, std::uint8_t aRootRequestBucket)
{
  return aImportance == Importance::kCritical ||
         AdmissionRank(aImportance, aRootRequestBucket) < aLevel.admitBelow_;
}

} // namespace fulmarway
