#include "policy/AccountKeys.h"

#include "model/Ids.h"

namespace fulmarway {

AccountKeys
MakeAccountKeys(const std::vector<AccountSpec>& aAccounts, std::uint64_t aSeed)
{
  AccountKeys index;
  index.seed_ = aSeed;
  for (std::size_t account = 0; account < aAccounts.size(); ++account) {
    const std::vector<std::string>& keys = aAccounts[account].keys_;
    bool hasTakenKey = false;
    for (std::size_t key = 0; key < keys.size(); ++key) {
      const AccountSpec* owner = FindAccount(index, aAccounts, keys[key]);
      if (owner == nullptr && !keys[key].empty()) {
        index.byHash_.emplace(StableHash(keys[key], aSeed), KeyPosition{ account, key });
      }
      hasTakenKey = hasTakenKey || (owner != nullptr && owner != &aAccounts[account]);
    }
    if (hasTakenKey) {
      index.accountsWithTakenKeys_.push_back(account);
    }
  }
  return index;
}

const AccountSpec*
FindAccount(const AccountKeys& aKeys,
            const std::vector<AccountSpec>& aAccounts,
            std::string_view aKey)
{
  const auto [first, last] = aKeys.byHash_.equal_range(StableHash(aKey, aKeys.seed_));
  for (auto entry = first; entry != last; ++entry) {
    const AccountSpec& account = aAccounts[entry->second.account_];
    // Reached only by keys with the same hash, so its duration tells nothing of keys that are
    // close.
    if (account.keys_[entry->second.key_] == aKey) {
      return &account;
    }
  }
  return nullptr;
}

} // namespace fulmarway
