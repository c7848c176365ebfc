#include "policy/ExecutorTickets.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace fulmarway {

ExecutorKey
ExecutorOf(const Ticket& aTicket)
{
  return { aTicket.executor_, aTicket.incarnation_ };
}

TicketKey
KeyOf(const Ticket& aTicket)
{
  return { aTicket.nonce_, aTicket.mac_ };
}

std::uint32_t
EpochAt(const ExecutorTickets& aTickets, Duration aEpochLength, Instant aNow)
{
  const auto elapsedEpochs =
    aNow > aTickets.baseTime_
      ? static_cast<std::uint64_t>((aNow - aTickets.baseTime_) / aEpochLength)
      : 0;
  const std::uint64_t epoch = std::min<std::uint64_t>(aTickets.baseEpoch_ + elapsedEpochs,
                                                      std::numeric_limits<std::uint32_t>::max());
  return std::max(static_cast<std::uint32_t>(epoch), aTickets.latestEpoch_);
}

TicketEntry*
FindEntry(ExecutorTickets& aTickets, const Ticket& aTicket)
{
  const auto epoch = aTickets.epochs_.find(aTicket.epoch_);
  if (epoch == aTickets.epochs_.end()) {
    return nullptr;
  }
  const auto entry = epoch->second.entries_.find(KeyOf(aTicket));
  return entry == epoch->second.entries_.end() ? nullptr : &entry->second;
}

void
AddEntry(ExecutorTickets& aTickets, const Ticket& aTicket, std::uint64_t aDigest)
{
  TicketEntry entry;
  entry.digest_ = aDigest;
  aTickets.epochs_[aTicket.epoch_].entries_.emplace(KeyOf(aTicket), entry);
}

std::size_t
ExpireTickets(ExecutorTickets& aTickets,
              AnswerCache& aCache,
              std::uint32_t aWindowEpochs,
              std::size_t aBudget)
{
  std::size_t expired = 0;
  auto epoch = aTickets.epochs_.begin();
  while (epoch != aTickets.epochs_.end() &&
         IsExpired(epoch->first, aTickets.latestEpoch_, aWindowEpochs)) {
    auto& entries = epoch->second.entries_;
    for (auto item = entries.begin(); item != entries.end() && expired < aBudget;) {
      if (item->second.phase_ != TicketPhase::kFinished) {
        ++item;
        continue;
      }
      RemoveCachedAnswer(aCache, item->second.answer_);
      item = entries.erase(item);
      ++expired;
    }
    epoch = entries.empty() ? aTickets.epochs_.erase(epoch) : std::next(epoch);
  }
  return expired;
}

bool
AllTicketsExpired(const ExecutorTickets& aTickets, std::uint32_t aWindowEpochs)
{
  return aTickets.epochs_.empty() &&
         aTickets.latestEpoch_ > std::uint64_t{ aTickets.baseEpoch_ } + 1 + aWindowEpochs;
}

} // namespace fulmarway
