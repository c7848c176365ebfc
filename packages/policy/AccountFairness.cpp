#include "policy/AccountFairness.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace fulmarway {

namespace {

/** Interval in which the uses decay and the limits are computed. */
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
/** Time in which a past use loses half of its weight. Short against a surge of seconds, and long
 * enough that some requests of each account count. */
constexpr double kHalfLifeSeconds = 2;
/** Uses below this are forgotten. */
constexpr double kMinUse = 0.05;
/** Accounts differ in size. Only what exceeds this many equal parts is taken for a surge;
 * without this margin, the largest accounts would bear the refusals of all. */
constexpr double kPartsPerLimit = 2;
/** Buckets for requests within the part of their account; the others are for those above it. */
constexpr std::uint8_t kBucketsWithinPart = kRootRequestBuckets / 4 * 3;

/** The equal part: the mean use, where each use counts up to the mean of all, so that one account
 * with a very large use raises it little. */
double
EqualPart(const std::map<std::string, double>& aUses)
{
  const auto mean = [&](double aMaximum) {
    double sum = 0;
    for (const auto& [name, use] : aUses) {
      sum += std::min(use, aMaximum);
    }
    return sum / static_cast<double>(aUses.size());
  };
  return aUses.empty() ? 0 : mean(mean(HUGE_VAL));
}

void
Update(AccountFairness& aFairness, Instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aFairness.updatedAt_).count();
  const double factor = std::exp2(-seconds / kHalfLifeSeconds);
  for (std::size_t i = 0; i < aFairness.uses_.size(); ++i) {
    auto& uses = aFairness.uses_[i];
    for (auto& [name, use] : uses) {
      use *= factor;
    }
    std::erase_if(uses, [](const auto& aEntry) { return aEntry.second < kMinUse; });
    aFairness.limits_[i] = kPartsPerLimit * EqualPart(uses);
  }
  aFairness.updatedAt_ = aNow;
}

} // namespace

Step<AccountFairness, std::uint8_t>
CountAccountUse(AccountFairness aFairness,
                const std::string& aAccount,
                Importance aImportance,
                std::uint8_t aRootRequestBucket,
                std::uint64_t aRandom,
                Instant aNow)
{
  if (aNow >= aFairness.updatedAt_ + kUpdateInterval) {
    Update(aFairness, aNow);
  }
  const auto index = static_cast<std::size_t>(aImportance);
  double& use = aFairness.uses_[index][aAccount];
  use += 1;
  // Of a use of twice the limit, every second request is above the part.
  const double draw = std::ldexp(static_cast<double>(aRandom >> 11), -53);
  const bool isAbovePart = aFairness.limits_[index] > 0 && draw * use >= aFairness.limits_[index];
  std::uint8_t bucket = BucketWithinPart(aRootRequestBucket);
  if (isAbovePart) {
    constexpr int kBucketsAbovePart = kRootRequestBuckets - kBucketsWithinPart;
    bucket = static_cast<std::uint8_t>(kBucketsWithinPart + aRootRequestBucket * kBucketsAbovePart /
                                                              kRootRequestBuckets);
  }
  return { std::move(aFairness), bucket };
}

std::uint8_t
BucketWithinPart(std::uint8_t aRootRequestBucket)
{
  return static_cast<std::uint8_t>(aRootRequestBucket * kBucketsWithinPart / kRootRequestBuckets);
}

AccountFairness
RemoveUnconfiguredAccounts(AccountFairness aFairness, const std::vector<AccountSpec>& aAccounts)
{
  std::set<std::string> names;
  for (const AccountSpec& account : aAccounts) {
    names.insert(account.name_);
  }
  for (auto& uses : aFairness.uses_) {
    std::erase_if(uses, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
  }
  return aFairness;
}

} // namespace fulmarway
