/** \file
 * Guards against a wrong decision of PresentTicket(), with one table row for each fault.
 */
#include "policy/TicketTable.h"

#include <criterion/criterion.h>
#include <functional>
#include <limits>
#include <string>

using namespace fulmarway;

namespace {

using std::chrono::seconds;

constexpr NodeId kSelf{ 1 };
constexpr Incarnation kIncarnation{ 1, 1 };
constexpr std::uint64_t kDigest = 77;
constexpr std::uint32_t kWindowEpochs = 4;

/** A table with a limit of two tickets and 100 bytes of answers, and the request to present. */
struct Fixture
{
  TicketTable table_ =
    MakeTicketTable({ seconds(30), kWindowEpochs, 2, 100, 80 }, kSelf, kIncarnation, Instant{});
  Instant now_;
  Ticket ticket_{ kSelf, kIncarnation, 1, { 9, 9 }, { 8, 8 } };
  std::uint64_t digest_ = kDigest;
  std::uint64_t requester_ = 0;

  TicketDecision Present(const Ticket& aTicket)
  {
    auto step = PresentTicket(std::move(table_), aTicket, digest_, RequestId{ ++requester_ }, now_);
    table_ = std::move(step.state_);
    return step.result_;
  }
  void Start()
  {
    Present(ticket_);
    table_ = StartTicket(std::move(table_), ticket_).state_;
  }
  void Answer(std::size_t aBytes)
  {
    Start();
    const fulmarway::Answer answer{ 201, "", std::string(aBytes, 'x') };
    table_ = CompleteTicket(std::move(table_), ticket_, answer).state_;
  }
  void Close()
  {
    Present(ticket_);
    table_ = CloseTicket(std::move(table_), ticket_, Reason::kShedByQueue).state_;
  }
  void Abandon()
  {
    Start();
    table_ = AbandonTicket(std::move(table_), ticket_, Reason::kBackendLost).state_;
  }
  void AdvanceEpochs(std::uint32_t aEpochs)
  {
    now_ += seconds(30) * aEpochs;
    table_ = AdvanceTickets(std::move(table_), now_);
  }
  /** Fills the table with finished tickets of the current epoch. */
  void Fill()
  {
    for (std::uint64_t nonce = 0; nonce < 2; ++nonce) {
      const Ticket other{ kSelf, kIncarnation, CurrentEpoch(table_, now_), { 1, nonce }, { 1, 1 } };
      Present(other);
      table_ = CloseTicket(std::move(table_), other, Reason::kDeadline).state_;
    }
  }
};

struct FaultCase
{
  const char* name_;
  std::function<void(Fixture&)> before_;
  TicketAction action_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
};

constexpr auto kExecute = TicketAction::kExecute;
constexpr auto kJoined = TicketAction::kJoined;
constexpr auto kReplay = TicketAction::kReplay;
constexpr auto kRefuse = TicketAction::kRefuse;
constexpr auto kNotRun = Verdict::kNotRun;
constexpr auto kMayHaveRun = Verdict::kMayHaveRun;

// clang-format off
const FaultCase kCases[] = {
  { "first presentation", [](Fixture&) {}, kExecute },
  { "retry while queued", [](Fixture& aFixture) { aFixture.Present(aFixture.ticket_); }, kJoined },
  { "retry while running", [](Fixture& aFixture) { aFixture.Start(); }, kJoined },
  { "retry after the answer", [](Fixture& aFixture) { aFixture.Answer(80); }, kReplay },
  { "answer too large", [](Fixture& aFixture) { aFixture.Answer(81); },
    kRefuse, Verdict::kRan, Reason::kAnswerNotKept },
  { "answer evicted for a later one",
    [](Fixture& aFixture) { aFixture.Answer(80); const Ticket first = aFixture.ticket_; aFixture.ticket_.nonce_.low_ = 1;
                   aFixture.Answer(30); aFixture.ticket_ = first; },
    kRefuse, Verdict::kRan, Reason::kAnswerNotKept },
  { "late duplicate of a rejected request", [](Fixture& aFixture) { aFixture.Close(); },
    kRefuse, kNotRun, Reason::kShedByQueue },
  { "backend server lost", [](Fixture& aFixture) { aFixture.Abandon(); },
    kRefuse, kMayHaveRun, Reason::kBackendLost },
  { "different request while queued", [](Fixture& aFixture) { aFixture.Present(aFixture.ticket_); aFixture.digest_ = 1; },
    kRefuse, kMayHaveRun, Reason::kRequestMismatch },
  { "different request after the answer", [](Fixture& aFixture) { aFixture.Answer(1); aFixture.digest_ = 1; },
    kRefuse, kMayHaveRun, Reason::kRequestMismatch },
  { "different request after a rejection", [](Fixture& aFixture) { aFixture.Close(); aFixture.digest_ = 1; },
    kRefuse, kNotRun, Reason::kRequestMismatch },
  { "oldest valid epoch", [](Fixture& aFixture) { aFixture.AdvanceEpochs(kWindowEpochs); }, kExecute },
  { "older than the window", [](Fixture& aFixture) { aFixture.AdvanceEpochs(kWindowEpochs + 1); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "answered, then older than the window", [](Fixture& aFixture) { aFixture.Answer(1); aFixture.AdvanceEpochs(kWindowEpochs + 1); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "expired, then a clock that goes back",
    [](Fixture& aFixture) { aFixture.Answer(1); aFixture.AdvanceEpochs(kWindowEpochs + 1); aFixture.now_ = Instant{}; },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "paused for longer than the window while running",
    [](Fixture& aFixture) { aFixture.Start(); aFixture.AdvanceEpochs(10 * kWindowEpochs); }, kJoined },
  { "finished after the window", [](Fixture& aFixture) { aFixture.Start(); aFixture.AdvanceEpochs(10 * kWindowEpochs);
    aFixture.table_ = CompleteTicket(std::move(aFixture.table_), aFixture.ticket_, Answer{}).state_; aFixture.AdvanceEpochs(0); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "one epoch ahead", [](Fixture& aFixture) { aFixture.ticket_.epoch_ = 2; }, kExecute },
  { "two epochs ahead", [](Fixture& aFixture) { aFixture.ticket_.epoch_ = 3; },
    kRefuse, kMayHaveRun, Reason::kTicketInvalid },
  { "two epochs ahead, then one epoch ahead",
    [](Fixture& aFixture) { aFixture.ticket_.epoch_ = 3; aFixture.Present(aFixture.ticket_); aFixture.AdvanceEpochs(1); }, kExecute },
  { "last possible epoch",
    [](Fixture& aFixture) { aFixture.ticket_.epoch_ = std::numeric_limits<std::uint32_t>::max(); },
    kRefuse, kMayHaveRun, Reason::kTicketInvalid },
  { "earlier incarnation of this node", [](Fixture& aFixture) { aFixture.ticket_.incarnation_ = { 0, 1 }; },
    kRefuse, kMayHaveRun, Reason::kTicketOfLostExecutor },
  { "another node", [](Fixture& aFixture) { aFixture.ticket_.executor_ = NodeId{ 2 }; },
    kRefuse, kMayHaveRun, Reason::kTicketOfLostExecutor },
  { "full table", [](Fixture& aFixture) { aFixture.Fill(); }, kRefuse, kNotRun, Reason::kTicketTableFull },
  { "refused by a full table, then free space",
    [](Fixture& aFixture) { aFixture.Fill(); aFixture.ticket_.epoch_ = 2; aFixture.Present(aFixture.ticket_); aFixture.AdvanceEpochs(kWindowEpochs + 1); },
    kRefuse, kNotRun, Reason::kTicketTableFull },
  { "another bucket of that epoch, then free space",
    [](Fixture& aFixture) { aFixture.Fill(); aFixture.ticket_.epoch_ = 2; aFixture.Present(aFixture.ticket_); aFixture.ticket_.mac_.low_ = 9;
                   aFixture.AdvanceEpochs(kWindowEpochs + 1); }, kExecute },
  { "full of expired tickets before AdvanceTickets()",
    [](Fixture& aFixture) { aFixture.Fill(); aFixture.now_ += seconds(30) * (kWindowEpochs + 1);
                   aFixture.ticket_.epoch_ = kWindowEpochs + 2; }, kExecute },
  { "too many waiters",
    [](Fixture& aFixture) { for (std::size_t i = 0; i < kMaxWaitersPerTicket; ++i) { aFixture.Present(aFixture.ticket_); } },
    kRefuse, kMayHaveRun, Reason::kRepeatLimit },
  { "handed over",
    [](Fixture& aFixture) {
      aFixture.table_ = BeginHandover(std::move(aFixture.table_), NodeId{ 5 }, { 5, 5 }, aFixture.now_).state_; },
    kRefuse, kMayHaveRun, Reason::kTicketMoved },
};
// clang-format on

} // namespace

Test(ticket_contract, fault_table)
{
  for (const FaultCase& row : kCases) {
    Fixture fixture;
    row.before_(fixture);
    const TicketDecision decision = fixture.Present(fixture.ticket_);
    cr_expect(decision.action_ == row.action_, "%s: action %d", row.name_, int(decision.action_));
    const Refusal expected{ row.verdict_, row.reason_, std::nullopt };
    cr_expect(row.action_ != kRefuse || decision.refusal_ == expected,
              "%s: refused as %s",
              row.name_,
              ToString(decision.refusal_.reason_).data());
    cr_expect(decision.answer_.has_value() == (row.action_ == kReplay), "%s: answer", row.name_);
    const bool moved = row.reason_ == Reason::kTicketMoved;
    cr_expect(decision.successor_.value_ == (moved ? 5 : 0), "%s: successor", row.name_);
  }
}

/** A refusal for which no entry is recorded must remain valid without one. */
Test(ticket_contract, refusals_without_a_record_take_no_memory)
{
  Fixture fixture;
  const TicketTable empty = fixture.table_;
  for (std::uint64_t nonce = 0; nonce < 100; ++nonce) {
    fixture.Present({ kSelf, kIncarnation, 3, { 1, nonce }, {} });
    fixture.Present({ kSelf, { 0, nonce }, 1, { 1, nonce }, {} });
    fixture.Present({ NodeId{ 3 }, kIncarnation, 1, { 1, nonce }, {} });
  }
  cr_assert(fixture.table_ == empty);
}

/** A duplicate from the same requester must not cause a second reply. */
Test(ticket_contract, a_requester_waits_once)
{
  Fixture fixture;
  fixture.Present(fixture.ticket_);
  fixture.requester_ = 0;
  cr_assert(fixture.Present(fixture.ticket_).action_ == kJoined);
  const auto notified =
    CloseTicket(std::move(fixture.table_), fixture.ticket_, Reason::kDeadline).result_;
  cr_assert(notified == Waiters(1, RequestId{ 1 }));
}
