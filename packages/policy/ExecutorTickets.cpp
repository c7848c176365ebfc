#include "policy/ExecutorTickets.h"

#include <algorithm>
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
  const auto passed = aNow > aTickets.since_
                        ? static_cast<std::uint64_t>((aNow - aTickets.since_) / aEpochLength)
                        : 0;
  const std::uint64_t epoch = std::min<std::uint64_t>(aTickets.baseEpoch_ + passed,
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

std::size_t
DropExpired(ExecutorTickets& aTickets, RememberedAnswers& aAnswers, std::uint32_t aWindowEpochs)
{
  std::size_t dropped = 0;
  auto epoch = aTickets.epochs_.begin();
  while (epoch != aTickets.epochs_.end() &&
         IsExpired(epoch->first, aTickets.latestEpoch_, aWindowEpochs)) {
    if (epoch->second.unfinished_ > 0) {
      ++epoch;
      continue;
    }
    for (const auto& [key, entry] : epoch->second.entries_) {
      Forget(aAnswers, entry.answer_);
    }
    dropped += epoch->second.entries_.size();
    epoch = aTickets.epochs_.erase(epoch);
  }
  return dropped;
}

} // namespace fulmarway
