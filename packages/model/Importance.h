/** \file
 * Importance classes of requests and the admission level that refuses by class.
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

/** Clicks are spread over this many buckets, so that a class is shed in small parts. */
inline constexpr std::uint8_t kClickBuckets = 64;

/** Bucket of a click, in [0, kClickBuckets); the same on every node. */
std::uint8_t
ClickBucket(std::string_view aClickId);

/** Rank of a request for shedding: its class, then its click bucket. Lower ranks are shed last. */
constexpr std::uint16_t
AdmissionRank(Importance aImportance, std::uint8_t aClickBucket)
{
  return static_cast<std::uint16_t>(static_cast<std::uint16_t>(aImportance) * kClickBuckets +
                                    aClickBucket);
}

/** Requests with a rank of `admitBelow_` or more are refused. */
struct AdmissionLevel
{
  std::uint16_t admitBelow_ = kImportanceCount * kClickBuckets;

  auto operator<=>(const AdmissionLevel&) const = default;
};

/** Class `critical` is never refused by level, so no level is lower than this. */
inline constexpr AdmissionLevel kLowestAdmissionLevel{ kClickBuckets };
inline constexpr AdmissionLevel kHighestAdmissionLevel{ kImportanceCount * kClickBuckets };

constexpr bool
IsAdmitted(AdmissionLevel aLevel, Importance aImportance, std::uint8_t aClickBucket)
{
  return aImportance == Importance::kCritical ||
         AdmissionRank(aImportance, aClickBucket) < aLevel.admitBelow_;
}

} // namespace fulmarway
