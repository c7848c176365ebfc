/** \file
 * Guards the contract of the configuration fold: a command takes effect at most once; of two
 * commands with the same subject and base version the first wins; and the version never decreases.
 */
#include "ConfigGenerators.h"

#include <criterion/criterion.h>
#include <map>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

CommandRecord
Record(std::uint64_t aId, std::uint64_t aBase, Command aCommand)
{
  return { CommandId{ aId }, "ann", aBase, 0, std::move(aCommand) };
}

const DeclareService kService{ "a", 10, 100, 25 };
const DeclareKind kKind{ "a", { "k" } };

struct Case
{
  const char* name_;
  std::vector<CommandRecord> records_;
  /** Outcome of the last record; "ignored" when it has no audit entry. */
  const char* outcome_;
  std::uint64_t version_;
  const char* detailPart_;
};

std::vector<Case>
Cases()
{
  const CommandRecord declared = Record(1, 0, kService);
  const std::string longName(500, 'x');
  CommandRecord longOperator = Record(2, 0, kService);
  longOperator.operatorName_ = longName;
  return {
    { "first declaration", { declared }, "accepted", 1, "" },
    { "repeated id is ignored", { declared, declared }, "ignored", 1, "" },
    { "repeated id with another command is ignored",
      { declared, Record(1, 1, SetLimit{ "a", 5 }) },
      "ignored",
      1,
      "" },
    { "repeated id after a rejection is ignored",
      { Record(1, 0, kKind), Record(2, 0, kService), Record(1, 1, kKind) },
      "ignored",
      1,
      "" },
    { "first of two on one subject wins",
      { declared, Record(2, 0, kService) },
      "conflict",
      1,
      "service a changed at version 1, after base version 0" },
    { "newer base is no conflict", { declared, Record(2, 1, kService) }, "accepted", 2, "" },
    { "other subject is no conflict",
      { declared, Record(2, 0, DeclareService{ "b", 1, 1, 0 }) },
      "accepted",
      2,
      "" },
    { "priority and declaration of a kind are one subject",
      { declared,
        Record(2, 1, kKind),
        Record(3, 2, SetPriority{ "a", "k", Importance::kHigh }),
        Record(4, 2, kKind) },
      "conflict",
      3,
      "kind a/k changed at version 3" },
    { "limit and declaration of a service are two subjects",
      { declared, Record(2, 1, SetLimit{ "a", 5 }), Record(3, 1, kService) },
      "accepted",
      3,
      "" },
    { "drain and undrain of a node are one subject",
      { Record(1, 0, SetDrain{ "10.0.0.1:1", true }),
        Record(2, 0, SetDrain{ "10.0.0.1:1", false }) },
      "conflict",
      1,
      "node 10.0.0.1:1 changed" },
    { "rejection changes no version",
      { Record(1, 0, SetLimit{ "a", 5 }) },
      "rejected",
      0,
      "service a: is not declared" },
    { "base above the version",
      { declared, Record(2, 2, kKind) },
      "rejected",
      1,
      "base version 2 is above version 1" },
    { "conflict is reported before a rejection",
      { declared, Record(2, 0, DeclareService{ "a", 0, 0, 0 }) },
      "conflict",
      1,
      "service a changed" },
    { "long operator name", { longOperator }, "rejected", 0, "operator name" },
    { "long service name",
      { Record(1, 0, DeclareService{ longName, 1, 1, 0 }) },
      "rejected",
      0,
      "service name" },
  };
}

} // namespace

Test(config_fold, outcomes)
{
  for (const Case& test : Cases()) {
    ConfigState state;
    std::optional<AuditEntry> last;
    std::uint64_t offset = 0;
    for (const CommandRecord& record : test.records_) {
      auto step = ApplyRecord(std::move(state), { offset++, record });
      state = std::move(step.state_);
      last = std::move(step.result_);
    }
    const std::string outcome = last ? std::string(ToString(last->outcome_)) : "ignored";
    cr_assert_eq(outcome, test.outcome_, "%s: %s", test.name_, outcome.c_str());
    cr_assert_eq(state.config_.version_, test.version_, "%s", test.name_);
    cr_assert_eq(state.nextOffset_, test.records_.size(), "%s", test.name_);
    if (last) {
      cr_assert(last->detail_.find(test.detailPart_) != std::string::npos &&
                  last->detail_.empty() == (*test.detailPart_ == '\0'),
                "%s: %s",
                test.name_,
                last->detail_.c_str());
      cr_assert(FindCommand(state, last->record_.id_) != nullptr, "%s", test.name_);
      cr_assert_leq(last->record_.operatorName_.size(), kMaxNameBytes + 1, "%s", test.name_);
      cr_assert_leq(FormatCommand(last->record_.command_).size(), 200, "%s", test.name_);
    }
  }
}

Test(config_fold, effects)
{
  ConfigState state;
  const Command commands[] = { kService,
                               kKind,
                               SetLimit{ "a", 5 },
                               SetPriority{ "a", "k", Importance::kCritical },
                               SetDrain{ "10.0.0.1:1", true },
                               SetDrain{ "10.0.0.2:1", true },
                               SetDrain{ "10.0.0.1:1", false },
                               DeclareService{ "a", 20, 200, 30 } };
  for (const Command& command : commands) {
    const std::uint64_t version = state.config_.version_;
    state =
      ApplyRecord(std::move(state), { version, Record(version + 1, version, command) }).state_;
    cr_assert_eq(state.config_.version_, version + 1);
  }
  KindSpec kind = kKind.kind_;
  kind.importance_ = Importance::kCritical;
  const ServiceSpec service{ "a", 20, 200, 5, 30, { { "k", kind } } };
  const Configuration expected{ 8, { { "a", service } }, { "10.0.0.2:1" } };
  cr_assert(state.config_ == expected);
}

Test(config_fold, records_of_other_kinds_and_old_records_change_nothing)
{
  ConfigState state = ApplyRecord({}, { 3, Record(1, 0, kService) }).state_;
  ConfigState expected = state;
  ConfigState foreign;
  foreign.config_.version_ = 99;
  foreign.nextOffset_ = 5;
  state = ApplyRecord(std::move(state), { 4, AnnouncementRecord{} }).state_;
  state = ApplyRecord(std::move(state), { 5, SnapshotRecord{ foreign } }).state_;
  state = ApplyRecord(std::move(state), { 2, Record(7, 1, kKind) }).state_;
  expected.nextOffset_ = 6;
  cr_assert(state == expected);
}

Test(config_fold, version_never_falls_and_a_command_id_takes_effect_once)
{
  cr_assert(rc::check("version and command ids", [] {
    const auto log = AnyLog(60);
    ConfigState state;
    std::map<CommandId, int> seen;
    for (const OffsetRecord& record : log) {
      const ConfigState before = state;
      auto [after, entry] = ApplyRecord(std::move(state), record);
      RC_ASSERT(after.config_.version_ >= before.config_.version_);
      RC_ASSERT(after.config_.version_ <= before.config_.version_ + 1);
      if (entry) {
        RC_ASSERT(++seen[entry->record_.id_] == 1);
      } else {
        RC_ASSERT(after.config_ == before.config_);
      }
      state = std::move(after);
    }
  }));
}

Test(config_fold, of_two_commands_on_one_subject_and_version_the_first_wins)
{
  cr_assert(rc::check("first wins", [] {
    const auto log = AnyLog(40);
    const ConfigState state = FoldAll(log, log.size());
    const std::uint64_t version = state.config_.version_;
    const Command first = *rc::gen::suchThat(
      rc::gen::exec([] { return AnyCommand(); }),
      [&state](const Command& aCommand) { return !CheckCommand(state.config_, aCommand); });
    const Command second = std::visit(SameSubjectVisitor{}, first);
    auto one = ApplyRecord(state, { log.size(), Record(1000, version, first) });
    RC_ASSERT(one.result_->outcome_ == CommandOutcome::kAccepted);
    const auto two = ApplyRecord(one.state_, { log.size() + 1, Record(1001, version, second) });
    RC_ASSERT(two.result_->outcome_ == CommandOutcome::kConflict);
    RC_ASSERT(two.state_.config_ == one.state_.config_);
  }));
}

Test(config_fold, audit_trail_and_subjects_are_bounded)
{
  ConfigState state;
  constexpr std::uint64_t kCount = 2500;
  for (std::uint64_t i = 0; i < kCount; ++i) {
    const std::string address =
      "10.0." + std::to_string(i / 500) + ".1:" + std::to_string(i % 500 / 2 + 1);
    const SetDrain command{ address, i % 2 == 0 };
    state = ApplyRecord(std::move(state), { i, Record(i + 1, i, command) }).state_;
  }
  cr_assert_eq(state.config_.version_, kCount);
  cr_assert_eq(state.audit_.size(), kMaxAuditEntries);
  cr_assert_eq(state.audit_.front().offset_, kCount - kMaxAuditEntries);
  cr_assert_leq(state.subjectVersions_.size(), kMaxBaseVersionLag);
}

Test(config_fold, a_base_too_old_to_compare_is_a_conflict)
{
  ConfigState state = ApplyRecord({}, { 0, Record(1, 0, kService) }).state_;
  // After this many changes of another subject the service is no longer in subjectVersions_.
  for (std::uint64_t i = 1; i <= kMaxBaseVersionLag + 1; ++i) {
    const SetDrain command{ "10.0.0.1:1", i % 2 == 1 };
    state = ApplyRecord(std::move(state), { i, Record(i + 1, i, command) }).state_;
  }
  cr_assert_not(state.subjectVersions_.contains("service a"));
  const auto tooOld = ApplyRecord(state, { 2000, Record(5000, 0, kService) });
  cr_assert_eq(tooOld.result_->outcome_, CommandOutcome::kConflict);
  const std::uint64_t oldest = state.config_.version_ - kMaxBaseVersionLag;
  const auto recent = ApplyRecord(state, { 2000, Record(5000, oldest, kService) });
  cr_assert_eq(recent.result_->outcome_, CommandOutcome::kAccepted);
}
