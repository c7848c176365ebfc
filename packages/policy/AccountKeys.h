/** \file
 * Look-up of client accounts by key. Against callers that try many keys: the time of a look-up does
 * not depend on the number of accounts, and tells nothing of how much of a key is right.
 */
#pragma once

#include "model/Config.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarway {

/** Position of a key in the list of accounts of a configuration. */
struct KeyPosition
{
  std::size_t account_ = 0;
  std::size_t key_ = 0;

  bool operator==(const KeyPosition&) const = default;
};

/** The keys of a configuration by a hash that callers cannot compute, since its seed is secret. */
struct AccountKeys
{
  std::uint64_t seed_ = 0;
  /** Several keys may have the same hash. */
  std::unordered_multimap<std::uint64_t, KeyPosition> byHash_;
  /** Accounts with a key that an earlier account of the list has as well. The earlier one gets the
   * requests. */
  std::vector<std::size_t> accountsWithTakenKeys_;

  bool operator==(const AccountKeys&) const = default;
};

/** Indexes the keys of all accounts. Empty keys belong to nobody. */
AccountKeys
MakeAccountKeys(const std::vector<AccountSpec>& aAccounts, std::uint64_t aSeed);

/** The account that has the key; nullptr when there is none. aAccounts is the list that the index
 * was made of. */
const AccountSpec*
FindAccount(const AccountKeys& aKeys,
            const std::vector<AccountSpec>& aAccounts,
            std::string_view aKey);

} // namespace fulmarway
