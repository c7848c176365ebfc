/** \file
 * Ranks of requests within their importance by the recent use of the node by each client account.
 * Against an account that sends many times its usual load: what it sends above its part gets the
 * lowest ranks, so that it is refused before the requests of the other accounts.
 */
#pragma once

#include "model/Config.h"
#include "model/Step.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarway {

/** Recent use by account. Holds no more entries than the configuration has accounts. */
struct AccountFairness
{
  /** Requests by account, decayed exponentially, for each importance. */
  std::array<std::map<std::string, double>, kImportanceCount> uses_;
  /** Of each importance, the recent use above which requests get the lowest ranks. */
  std::array<double, kImportanceCount> limits_{};
  /** When `limits_` was last computed. */
  Instant updatedAt_;

  bool operator==(const AccountFairness&) const = default;
};

/** Counts a request of the account and returns its bucket, which takes the place of that of its
 * root request. aRootRequestBucket keeps its order among the requests of equal standing. aRandom
 * draws the requests of an account above its part that get the lowest ranks. */
Step<AccountFairness, std::uint8_t>
CountAccountUse(AccountFairness aFairness,
                const std::string& aAccount,
                Importance aImportance,
                std::uint8_t aRootRequestBucket,
                std::uint64_t aRandom,
                Instant aNow);

/** The bucket of a request within the part of its account, or without an account. */
std::uint8_t
BucketWithinPart(std::uint8_t aRootRequestBucket);

/** Forgets accounts that are no longer configured. */
AccountFairness
RemoveUnconfiguredAccounts(AccountFairness aFairness, const std::vector<AccountSpec>& aAccounts);

} // namespace fulmarway
