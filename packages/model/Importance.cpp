#include "model/Importance.h"

#include "model/Ids.h"

namespace fulmarway {

std::string_view
ToString(Importance aImportance)
{
  switch (aImportance) {
    case Importance::kCritical:
      return "critical";
    case Importance::kHigh:
      return "high";
    case Importance::kNormal:
      return "normal";
    case Importance::kLow:
      return "low";
  }
  return "unknown";
}

std::optional<Importance>
ParseImportance(std::string_view aText)
{
  for (const Importance importance : kAllImportances) {
    if (ToString(importance) == aText) {
      return importance;
    }
  }
  return std::nullopt;
}

std::uint8_t
RootRequestBucket(std::string_view aRootRequestId)
{
  constexpr std::uint64_t kBucketSeed = 7;
  return static_cast<std::uint8_t>(StableHash(aRootRequestId, kBucketSeed) % kRootRequestBuckets);
}

} // namespace fulmarway
