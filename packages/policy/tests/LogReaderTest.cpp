/** \file
 * Guards against readers that apply records to a state that misses earlier ones. After any sequence
 * of batches, duplicate records, snapshots, expired records and replies of peers, the state is the
 * fold of the complete log up to its offset, and the offset never decreases.
 */
#include "ConfigGenerators.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

CommandRecord
Declare(std::uint64_t aId, std::uint64_t aBase, const std::string& aService)
{
  return { CommandId{ aId }, "ann", aBase, 0, DeclareService{ aService, 10, 100, 25 } };
}

/** Returns a log with commands at offsets 0 to aCount - 1, each of which declares a new service. */
std::vector<OffsetRecord>
PlainLog(std::uint64_t aCount)
{
  std::vector<OffsetRecord> log;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    log.push_back({ i, Declare(i + 1, i, "s" + std::to_string(i)) });
  }
  return log;
}

std::vector<OffsetRecord>
Slice(const std::vector<OffsetRecord>& aLog, std::size_t aFrom)
{
  return { aLog.begin() + static_cast<std::ptrdiff_t>(aFrom), aLog.end() };
}

/** Returns a reader that has read aLog from its beginning. */
LogReader
ReaderOf(const std::vector<OffsetRecord>& aLog)
{
  return ReadBatch({}, 0, aLog).state_;
}

/** Asserts that the state of the reader is the fold of all records below its offset. */
void
ExpectFold(const LogReader& aReader, const std::vector<OffsetRecord>& aLog)
{
  const ConfigState& state = aReader.state_;
  RC_ASSERT(state.nextOffset_ <= aLog.size());
  RC_ASSERT(state == FoldAll(aLog, state.nextOffset_));
}

} // namespace

Test(log_reader, equal_offsets_mean_equal_states)
{
  cr_assert(rc::check("reader and peer under retention", [] {
    const auto log = AnyLog(50);
    std::uint64_t earliest = 0;
    std::uint64_t end = 0;
    LogReader readers[2];
    for (int step = 0; step < 40; ++step) {
      end = std::min<std::uint64_t>(end + *rc::gen::inRange(0, 4), log.size());
      if (*rc::gen::inRange(0, 5) == 0) {
        earliest = *rc::gen::inRange<std::uint64_t>(earliest, end + 1);
      }
      LogReader& reader = readers[*rc::gen::inRange(0, 2)];
      const LogReader& peer = &reader == readers ? readers[1] : readers[0];
      const std::uint64_t version = reader.state_.config_.version_;
      const std::uint64_t offset = reader.state_.nextOffset_;
      if (*rc::gen::inRange(0, 4) == 0) {
        const ConfigRequest request{ reader.state_.nextOffset_, version };
        reader = ApplyConfigReply(std::move(reader), MakeConfigReply(peer, request)).state_;
      } else {
        const auto size = *rc::gen::inRange<std::uint64_t>(0, 8);
        const auto batch = AnyBatch(log, earliest, NextReadOffset(reader), size, end);
        reader = ReadBatch(std::move(reader), earliest, batch).state_;
      }
      ExpectFold(reader, log);
      RC_ASSERT(reader.state_.config_.version_ >= version);
      RC_ASSERT(reader.state_.nextOffset_ >= offset);
    }
  }));
}

Test(log_reader, a_cold_reader_catches_up_through_a_covering_snapshot)
{
  cr_assert(rc::check("cold start", [] {
    auto log = AnyLog(40);
    const auto earliest = *rc::gen::inRange<std::uint64_t>(0, log.size() + 1);
    // A node that has read all records appends this snapshot before they expire.
    const auto snapshot = MakeSnapshot(ReaderOf(log));
    RC_ASSERT(snapshot.has_value());
    log.push_back({ log.size(), *snapshot });
    LogReader reader;
    while (NextReadOffset(reader) < log.size()) {
      const auto size = *rc::gen::inRange<std::uint64_t>(1, 8);
      const auto batch = AnyBatch(log, earliest, NextReadOffset(reader), size, log.size());
      reader = ReadBatch(std::move(reader), earliest, batch).state_;
    }
    RC_ASSERT(reader.complete_);
    RC_ASSERT(reader.state_ == FoldAll(log, log.size()));
  }));
}

Test(log_reader, nothing_is_applied_before_a_snapshot_covers_the_first_record)
{
  auto log = PlainLog(6);
  struct Case
  {
    const char* name_;
    std::uint64_t earliest_;
    std::uint64_t covered_;
    bool complete_;
  };
  const Case cases[] = {
    { "beginning of the log", 0, 0, true },
    { "snapshot covers all before the first record", 3, 3, true },
    { "snapshot covers a part of what was read", 3, 5, true },
    { "snapshot covers all", 3, 6, true },
    { "one record is missing between", 3, 2, false },
    { "snapshot of the empty state", 3, 0, false },
    { "snapshot claims records that follow it", 3, 7, false },
  };
  for (const Case& test : cases) {
    auto records = log;
    ConfigState covered = FoldAll(log, std::min<std::uint64_t>(test.covered_, 6));
    covered.nextOffset_ = test.covered_;
    records.push_back({ 6, SnapshotRecord{ covered } });
    records.push_back({ 7, Declare(99, 6, "last") });
    const auto [reader, result] = ReadBatch({}, test.earliest_, Slice(records, test.earliest_));
    cr_assert_eq(reader.complete_, test.complete_, "%s", test.name_);
    cr_assert_eq(NextReadOffset(reader), 8, "%s", test.name_);
    cr_assert_eq(reader.state_.config_.version_, test.complete_ ? 7 : 0, "%s", test.name_);
    cr_assert_eq(MakeSnapshot(reader).has_value(), test.complete_, "%s", test.name_);
  }
}

Test(log_reader, records_lost_between_batches_make_it_incomplete_but_keep_its_state)
{
  const auto log = PlainLog(10);
  LogReader reader = ReaderOf({ log.begin(), log.begin() + 4 });
  reader = ReadBatch(std::move(reader), 4, {}).state_;
  cr_assert(reader.complete_, "the next record has not expired");
  auto [lost, result] = ReadBatch(std::move(reader), 6, Slice(log, 6));
  cr_assert_not(lost.complete_);
  cr_assert(result.applied_.empty());
  cr_assert(lost.state_ == FoldAll(log, 4));
  auto [found, applied] =
    ReadBatch(std::move(lost), 6, { { 10, SnapshotRecord{ FoldAll(log, 6) } } });
  cr_assert(found.complete_);
  cr_assert_eq(applied.applied_.size(), 4);
  cr_assert_eq(found.state_.config_, FoldAll(log, 10).config_);
}

Test(log_reader, an_empty_log_is_its_beginning_only_at_offset_0)
{
  cr_assert(ReadBatch({}, 0, {}).state_.complete_);
  const LogReader reader = ReadBatch({}, 50, {}).state_;
  cr_assert_not(reader.complete_);
  cr_assert_eq(NextReadOffset(reader), 50);
}

Test(log_reader, announcements_are_reported_also_while_incomplete)
{
  MemberRecord member;
  member.sequence_ = 7;
  const auto [reader, result] = ReadBatch({}, 50, { { 50, AnnouncementRecord{ member } } });
  cr_assert_not(reader.complete_);
  cr_assert(result.announced_ == std::vector<MemberRecord>{ member });
}

Test(log_reader, repeated_records_do_not_move_the_position_back)
{
  const std::vector<OffsetRecord> batch = { { 50, AnnouncementRecord{} },
                                            { 51, Declare(1, 0, "a") } };
  const LogReader reader = ReadBatch({}, 50, batch).state_;
  const auto [again, result] = ReadBatch(reader, 50, { batch[0] });
  cr_assert(again == reader);
  cr_assert(result.announced_.empty());
}

Test(log_reader, pending_records_are_bounded)
{
  LogReader reader;
  for (std::uint64_t i = 1; i <= kMaxPendingRecords + 1; ++i) {
    reader = ReadBatch(std::move(reader), 1, { { i, Declare(i, 0, "a") } }).state_;
  }
  cr_assert_leq(reader.pending_.size(), kMaxPendingRecords);
  const std::uint64_t last = kMaxPendingRecords + 1;
  cr_assert_eq(NextReadOffset(reader), last + 1);
  // The oldest pending records were evicted, so a snapshot that ends at the first one leaves a gap.
  ConfigState early;
  early.nextOffset_ = 1;
  reader = ReadBatch(std::move(reader), 1, { { last + 1, SnapshotRecord{ early } } }).state_;
  cr_assert_not(reader.complete_);
  ConfigState late;
  late.nextOffset_ = last;
  reader = ReadBatch(std::move(reader), 1, { { last + 2, SnapshotRecord{ late } } }).state_;
  cr_assert(reader.complete_);
  cr_assert_eq(reader.state_.nextOffset_, last + 3);
}

Test(log_reader, peers_send_what_is_missing)
{
  const auto log = PlainLog(kMaxAuditEntries + 20);
  // The last record does not change the configuration, but advances the offset of the reader.
  LogReader ahead = ReaderOf(log);
  ahead = ReadBatch(std::move(ahead), 0, { { log.size(), AnnouncementRecord{} } }).state_;
  struct Case
  {
    const char* name_;
    std::uint64_t recordsRead_;
    bool sendsState_;
  };
  const Case cases[] = {
    { "cold", 0, true },
    { "older than the audit trail", 19, true },
    { "oldest entry of the audit trail", 20, false },
    { "one behind", kMaxAuditEntries + 19, false },
    { "behind by the announcement", kMaxAuditEntries + 20, false },
  };
  for (const Case& test : cases) {
    LogReader reader =
      ReaderOf({ log.begin(), log.begin() + static_cast<long>(test.recordsRead_) });
    const ConfigReply reply =
      MakeConfigReply(ahead, { reader.state_.nextOffset_, reader.state_.config_.version_ });
    cr_assert_eq(reply.state_.has_value(), test.sendsState_, "%s", test.name_);
    const auto [after, advanced] = ApplyConfigReply(std::move(reader), reply);
    cr_assert(after.state_ == ahead.state_, "%s", test.name_);
    cr_assert(advanced, "%s", test.name_);
  }
}

Test(log_reader, a_cold_node_learns_that_the_log_is_empty_from_a_complete_peer_only)
{
  const LogReader complete = ReadBatch({}, 0, {}).state_;
  const LogReader cold;
  cr_assert(ApplyConfigReply({}, MakeConfigReply(complete, {})).state_.complete_);
  cr_assert_not(ApplyConfigReply({}, MakeConfigReply(cold, {})).state_.complete_);
}

Test(log_reader, a_peer_that_is_behind_the_missing_records_does_not_complete)
{
  const auto log = PlainLog(10);
  const LogReader lost = ReadBatch({}, 6, Slice(log, 6)).state_;
  const auto peer = [&log](long aRead) {
    return MakeConfigReply(ReaderOf({ log.begin(), log.begin() + aRead }), {});
  };
  const LogReader behind = ApplyConfigReply(lost, peer(5)).state_;
  cr_assert_not(behind.complete_);
  cr_assert_eq(behind.state_.config_.version_, 5, "the peer's state is used meanwhile");
  const LogReader enough = ApplyConfigReply(behind, peer(6)).state_;
  cr_assert(enough.complete_);
  cr_assert(enough.state_ == FoldAll(log, 10));
}

Test(log_reader, a_lower_version_is_never_adopted)
{
  const ConfigState state = FoldAll(PlainLog(5), 5);
  ConfigState lower = FoldAll(PlainLog(3), 3);
  lower.nextOffset_ = 50;
  cr_assert_not(AdoptSnapshot(state, lower).result_);
  ConfigState behind = state;
  behind.nextOffset_ = 4;
  cr_assert_not(AdoptSnapshot(state, behind).result_);
  ConfigState further = state;
  further.nextOffset_ = 50;
  cr_assert(AdoptSnapshot(state, further).result_);
}
