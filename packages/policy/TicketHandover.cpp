#include "policy/TicketHandover.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fulmarway {

namespace {

/** Size of a ticket's fields in a message. */
constexpr std::size_t kTicketBytes = 96;

std::size_t
AnswerBytes(const HandedTicket& aTicket)
{
  return aTicket.answer_.contentType_.size() + aTicket.answer_.body_.size();
}

HandedTable
WithoutTickets(const HandedTable& aTable)
{
  return { aTable.executor_, aTable.incarnation_, aTable.epoch_, {}, {} };
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
  const auto known = aReceived.incomplete_.find(from);
  if (known == aReceived.incomplete_.end()) {
    if (aReceived.incomplete_.size() >= kMaxIncompleteHandovers) {
      return PartOutcome::kRefused;
    }
  } else if (known->second.partCount_ != aPart.partCount_) {
    return PartOutcome::kRefused;
  }
  std::size_t tickets = 0;
  std::size_t bytes = 0;
  for (const HandedTable& table : aPart.tables_) {
    tickets += table.tickets_.size();
    for (const HandedTicket& ticket : table.tickets_) {
      bytes += AnswerBytes(ticket);
    }
  }
  std::size_t ticketsOfAll = tickets;
  std::size_t bytesOfAll = bytes;
  for (const auto& [key, other] : aReceived.incomplete_) {
    ticketsOfAll += other.tickets_;
    bytesOfAll += other.bytes_;
  }
  IncompleteHandover& handover = aReceived.incomplete_[from];
  handover.partCount_ = aPart.partCount_;
  handover.lastPartAt_ = aNow;
  if (!handover.parts_.contains(aPart.part_)) {
    if (ticketsOfAll > aLimits.maxTickets_ || bytesOfAll > aLimits.maxBytes_) {
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

std::vector<HandedTable>
TakeTables(ReceivedHandovers& aReceived, const ExecutorKey& aFrom)
{
  auto node = aReceived.incomplete_.extract(aFrom);
  std::map<ExecutorKey, HandedTable> joined;
  for (auto& [number, part] : node.mapped().parts_) {
    for (HandedTable& table : part.tables_) {
      HandedTable& whole =
        joined.try_emplace({ table.executor_, table.incarnation_ }, WithoutTickets(table))
          .first->second;
      std::move(table.tickets_.begin(), table.tickets_.end(), std::back_inserter(whole.tickets_));
      whole.closedEpochs_.insert(
        whole.closedEpochs_.end(), table.closedEpochs_.begin(), table.closedEpochs_.end());
    }
  }
  std::vector<HandedTable> tables;
  for (auto& [key, table] : joined) {
    tables.push_back(std::move(table));
  }
  return tables;
}

void
DropStaleHandovers(ReceivedHandovers& aReceived, Instant aNow)
{
  std::erase_if(aReceived.incomplete_, [aNow](const auto& aItem) {
    return aNow - aItem.second.lastPartAt_ > kIncompleteHandoverTimeout;
  });
}

HandedTable
ToHandedTable(const ExecutorKey& aExecutor,
              const ExecutorTickets& aTickets,
              const RememberedAnswers& aAnswers)
{
  HandedTable table{ aExecutor.executor_, aExecutor.incarnation_, aTickets.latestEpoch_, {}, {} };
  for (const auto& [epoch, tickets] : aTickets.epochs_) {
    if (tickets.closed_) {
      table.closedEpochs_.push_back(epoch);
    }
    for (const auto& [key, entry] : tickets.entries_) {
      HandedTicket handed{
        { aExecutor.executor_, aExecutor.incarnation_, epoch, key.nonce_, key.mac_ },
        entry.digest_,
        entry.fate_,
        entry.reason_,
        {}
      };
      if (handed.fate_ == TicketFate::kAnswered) {
        if (auto answer = Recall(aAnswers, entry.answer_)) {
          handed.answer_ = std::move(*answer);
        } else {
          handed.fate_ = TicketFate::kAnsweredNotKept;
        }
      }
      table.tickets_.push_back(std::move(handed));
    }
  }
  std::sort(table.tickets_.begin(),
            table.tickets_.end(),
            [](const HandedTicket& aLeft, const HandedTicket& aRight) {
              return aLeft.ticket_ < aRight.ticket_;
            });
  return table;
}

std::vector<Handover>
SplitIntoParts(const ExecutorKey& aFrom,
               const ExecutorKey& aSuccessor,
               std::vector<HandedTable> aTables)
{
  const Handover empty{
    aFrom.executor_, aFrom.incarnation_, aSuccessor.executor_, aSuccessor.incarnation_, 0, 1, {}
  };
  std::vector<Handover> parts{ empty };
  std::size_t bytes = 0;
  for (HandedTable& table : aTables) {
    parts.back().tables_.push_back(WithoutTickets(table));
    parts.back().tables_.back().closedEpochs_ = table.closedEpochs_;
    for (HandedTicket& ticket : table.tickets_) {
      const std::size_t size = kTicketBytes + AnswerBytes(ticket);
      if (bytes > 0 && bytes + size > kHandoverPartBytes) {
        parts.push_back(empty);
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
