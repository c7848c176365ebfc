/** \file
 * RapidCheck generators of log histories for the tests of the configuration fold.
 */
#pragma once

#include "policy/ConfigFold.h"

#include <rapidcheck.h>
#include <vector>

namespace fulmarway::test {

/** Draws from few names, so that commands often have the same subject. */
inline std::string
AnyName()
{
  return *rc::gen::element<std::string>("a", "b", "Bad");
}

inline Command
AnyCommand()
{
  const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1:
      return DeclareService{ AnyName(), *rc::gen::inRange<std::uint32_t>(0, 5), 8, 25 };
    case 2:
      return DeclareKind{ AnyName(), { AnyName(), importance } };
    case 3:
      return SetPriority{ AnyName(), AnyName(), importance };
    case 4:
      return SetLimit{ AnyName(), *rc::gen::inRange<std::uint32_t>(0, 5) };
    default:
      return SetDrain{ *rc::gen::element<std::string>("10.0.0.1:7000", "10.0.0.2:7000"),
                       *rc::gen::arbitrary<bool>() };
  }
}

/** Returns another command with the same subject. */
struct SameSubjectVisitor
{
  Command operator()(const DeclareService& aCommand) const
  {
    return DeclareService{ aCommand.service_, aCommand.slots_ + 1, 8, 25 };
  }
  Command operator()(const DeclareKind& aCommand) const
  {
    return SetPriority{ aCommand.service_, aCommand.kind_.name_, Importance::kLow };
  }
  Command operator()(const SetPriority& aCommand) const
  {
    return DeclareKind{ aCommand.service_, { aCommand.kind_, Importance::kHigh } };
  }
  Command operator()(const SetLimit& aCommand) const { return SetLimit{ aCommand.service_, 0 }; }
  Command operator()(const SetDrain& aCommand) const
  {
    return SetDrain{ aCommand.peerAddress_, !aCommand.draining_ };
  }
};

/** Folds the first aCount records one by one. */
inline ConfigState
FoldAll(const std::vector<OffsetRecord>& aLog, std::size_t aCount)
{
  ConfigState state;
  for (std::size_t i = 0; i < aCount; ++i) {
    state = ApplyRecord(std::move(state), aLog[i]).state_;
  }
  return state;
}

/** Generates a log from offset 0: commands with current or outdated base versions and duplicate
 * ids, announcements, and snapshots that cover all records before them or a few less. */
inline std::vector<OffsetRecord>
AnyLog(std::size_t aMaxRecords)
{
  const auto count = *rc::gen::inRange<std::size_t>(1, aMaxRecords);
  std::vector<OffsetRecord> log;
  ConfigState state;
  for (std::uint64_t offset = 0; offset < count; ++offset) {
    LogRecord record;
    const int choice = *rc::gen::inRange(0, 10);
    if (choice == 0) {
      record = AnnouncementRecord{ MemberRecord{ NodeIdentity{ NodeId{ offset } } } };
    } else if (choice <= 2) {
      const auto behind = *rc::gen::inRange<std::size_t>(0, 4);
      record = SnapshotRecord{ FoldAll(log, log.size() - std::min(behind, log.size())) };
    } else {
      const std::uint64_t version = state.config_.version_;
      const auto behind = *rc::gen::inRange<std::uint64_t>(0, 3);
      record = CommandRecord{ CommandId{ *rc::gen::inRange<std::uint64_t>(0, 40) },
                              "ann",
                              version - std::min(behind, version),
                              0,
                              AnyCommand() };
    }
    log.push_back({ offset, std::move(record) });
    state = ApplyRecord(std::move(state), log.back()).state_;
  }
  return log;
}

/** Generates the response of the log service to a read at aFrom: aNewRecords records from there,
 * sometimes with records before that offset or with duplicates. */
inline std::vector<OffsetRecord>
AnyBatch(const std::vector<OffsetRecord>& aLog,
         std::uint64_t aEarliest,
         std::uint64_t aFrom,
         std::uint64_t aNewRecords,
         std::uint64_t aEnd)
{
  const auto repeated = *rc::gen::inRange<std::uint64_t>(0, 4);
  const std::uint64_t end = std::min(std::max(aEarliest, aFrom) + aNewRecords, aEnd);
  std::vector<OffsetRecord> batch;
  for (std::uint64_t i = std::max(aEarliest, aFrom - std::min(repeated, aFrom)); i < end; ++i) {
    batch.push_back(aLog[i]);
    if (*rc::gen::inRange(0, 6) == 0) {
      batch.push_back(aLog[i]);
    }
  }
  return batch;
}

} // namespace fulmarway::test
