#include "policy/TicketHandover.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmarway {

namespace {

/** Size of a ticket in a message without its answer. */
constexpr std::size_t kTicketMessageBytes = 96;

std::size_t
AnswerBytes(const HandoverTicket& aTicket)
{
  return aTicket.answer_.contentType_.size() + aTicket.answer_.body_.size();
}

HandoverTable
WithoutTickets(const HandoverTable& aTable)
{
  return { aTable.executor_, aTable.incarnation_, aTable.epoch_, {}, {} };
}

/** Converts the tickets of one executor, all of which must be finished. They are sorted, oldest
 * epoch first, so that equal tables give equal messages. */
HandoverTable
ToHandoverTable(const ExecutorKey& aExecutor,
                const ExecutorTickets& aTickets,
                const AnswerCache& aCache)
{
  HandoverTable table{ aExecutor.executor_, aExecutor.incarnation_, aTickets.latestEpoch_, {}, {} };
  for (const auto& [epoch, tickets] : aTickets.epochs_) {
    if (tickets.closedBuckets_ != 0) {
      table.closed_.push_back({ epoch, tickets.closedBuckets_ });
    }
    for (const auto& [key, entry] : tickets.entries_) {
      HandoverTicket handed{
        { aExecutor.executor_, aExecutor.incarnation_, epoch, key.nonce_, key.mac_ },
        entry.digest_,
        entry.finalState_,
        entry.reason_,
        {}
      };
      if (handed.finalState_ == TicketFinalState::kAnswered) {
        if (auto answer = FindCachedAnswer(aCache, entry.answer_)) {
          handed.answer_ = std::move(*answer);
        } else {
          handed.finalState_ = TicketFinalState::kAnsweredNotCached;
        }
      }
      table.tickets_.push_back(std::move(handed));
    }
  }
  std::sort(table.tickets_.begin(),
            table.tickets_.end(),
            [](const HandoverTicket& aLeft, const HandoverTicket& aRight) {
              return aLeft.ticket_ < aRight.ticket_;
            });
  return table;
}

} // namespace

PartOutcome
CollectPart(ReceivedHandovers& aReceived,
            const Handover& aPart,
            const HandoverLimits& aLimits,
            Instant aNow)
{
  const ExecutorKey from{ aPart.from_, aPart.incarnation_ };
  if (aPart.part_ >= aPart.partCount_ || aPart.partCount_ > kMaxHandoverParts) {
    return PartOutcome::kRefused;
  }
  const auto existing = aReceived.incomplete_.find(from);
  if (existing == aReceived.incomplete_.end()) {
    if (aReceived.incomplete_.size() >= kMaxIncompleteHandovers) {
      return PartOutcome::kRefused;
    }
  } else if (existing->second.partCount_ != aPart.partCount_) {
    return PartOutcome::kRefused;
  }
  std::size_t tickets = 0;
  std::size_t bytes = 0;
  for (const HandoverTable& table : aPart.tables_) {
    tickets += table.tickets_.size();
    for (const HandoverTicket& ticket : table.tickets_) {
      bytes += AnswerBytes(ticket);
    }
  }
  std::size_t totalTickets = tickets;
  std::size_t totalBytes = bytes;
  for (const auto& [key, other] : aReceived.incomplete_) {
    totalTickets += other.tickets_;
    totalBytes += other.bytes_;
  }
  IncompleteHandover& handover = aReceived.incomplete_[from];
  handover.partCount_ = aPart.partCount_;
  handover.lastPartAt_ = aNow;
  if (!handover.parts_.contains(aPart.part_)) {
    if (totalTickets > aLimits.maxTickets_ || totalBytes > aLimits.maxBytes_) {
      aReceived.incomplete_.erase(from);
      return PartOutcome::kRefused;
    }
    handover.parts_.emplace(aPart.part_, aPart);
    handover.tickets_ += tickets;
    handover.bytes_ += bytes;
  }
  return handover.parts_.size() == handover.partCount_ ? PartOutcome::kComplete
                                                       : PartOutcome::kMissingParts;
}

std::vector<HandoverTable>
ExtractTables(ReceivedHandovers& aReceived, const ExecutorKey& aFrom)
{
  auto extracted = aReceived.incomplete_.extract(aFrom);
  std::map<ExecutorKey, HandoverTable> mergedTables;
  for (auto& [number, part] : extracted.mapped().parts_) {
    for (HandoverTable& table : part.tables_) {
      HandoverTable& merged =
        mergedTables.try_emplace({ table.executor_, table.incarnation_ }, WithoutTickets(table))
          .first->second;
      std::move(table.tickets_.begin(), table.tickets_.end(), std::back_inserter(merged.tickets_));
      std::move(table.closed_.begin(), table.closed_.end(), std::back_inserter(merged.closed_));
    }
  }
  std::vector<HandoverTable> tables;
  for (auto& [key, table] : mergedTables) {
    tables.push_back(std::move(table));
  }
  return tables;
}

void
ExpireIncompleteHandovers(ReceivedHandovers& aReceived, Instant aNow)
{
  std::erase_if(aReceived.incomplete_, [aNow](const auto& aItem) {
    return aNow - aItem.second.lastPartAt_ > kIncompleteHandoverTimeout;
  });
}

ExecutorTickets
FromHandoverTable(const HandoverTable& aTable,
                  AnswerCache& aCache,
                  const AnswerCacheLimits& aLimits,
                  Instant aNow)
{
  ExecutorTickets tickets;
  tickets.baseEpoch_ = aTable.epoch_;
  tickets.latestEpoch_ = aTable.epoch_;
  tickets.baseTime_ = aNow;
  for (const ClosedBuckets& closed : aTable.closed_) {
    tickets.epochs_[closed.epoch_].closedBuckets_ |= closed.buckets_;
  }
  for (const HandoverTicket& handed : aTable.tickets_) {
    TicketEntry entry{
      handed.digest_, kNoAnswer, TicketPhase::kFinished, handed.finalState_, handed.reason_
    };
    if (handed.finalState_ == TicketFinalState::kAnswered) {
      entry.answer_ = CacheAnswer(aCache, handed.answer_, aLimits);
    }
    tickets.epochs_[handed.ticket_.epoch_].entries_.emplace(KeyOf(handed.ticket_), entry);
  }
  return tickets;
}

std::vector<Handover>
MakeHandoverParts(const ExecutorKey& aFrom,
                  const ExecutorKey& aSuccessor,
                  const ExecutorMap& aExecutors,
                  const AnswerCache& aCache,
                  std::size_t aMaxPartBytes)
{
  std::map<ExecutorKey, const ExecutorTickets*> sortedExecutors;
  for (const auto& [key, tickets] : aExecutors) {
    sortedExecutors.emplace(key, &tickets);
  }
  std::vector<Handover> parts{
    { aFrom.executor_, aFrom.incarnation_, aSuccessor.executor_, aSuccessor.incarnation_, 0, 1, {} }
  };
  const Handover emptyPart = parts.front();
  std::size_t bytes = 0;
  for (const auto& [key, tickets] : sortedExecutors) {
    HandoverTable table = ToHandoverTable(key, *tickets, aCache);
    parts.back().tables_.push_back(WithoutTickets(table));
    parts.back().tables_.back().closed_ = table.closed_;
    for (HandoverTicket& ticket : table.tickets_) {
      const std::size_t size = kTicketMessageBytes + AnswerBytes(ticket);
      if (bytes > 0 && bytes + size > aMaxPartBytes) {
        parts.push_back(emptyPart);
        parts.back().tables_.push_back(WithoutTickets(table));
        bytes = 0;
      }
      bytes += size;
      parts.back().tables_.back().tickets_.push_back(std::move(ticket));
    }
  }
  for (std::uint32_t index = 0; index < parts.size(); ++index) {
    parts[index].part_ = index;
    parts[index].partCount_ = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

} // namespace fulmarway
