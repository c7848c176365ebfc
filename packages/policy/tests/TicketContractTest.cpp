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
constexpr std::uint32_t kWindow = 4;

/** A table with a limit of two tickets and 100 bytes of answers, and the request to present. */
struct Scene
{
  TicketTable table_ =
    MakeTicketTable({ seconds(30), kWindow, 2, 100, 80 }, kSelf, kIncarnation, Instant{});
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
  void PassEpochs(std::uint32_t aEpochs)
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
  std::function<void(Scene&)> before_;
  TicketAction action_;
  Verdict verdict_ = Verdict::kNotRun;
  Reason reason_ = Reason::kNone;
};

constexpr auto kRun = TicketAction::kRun;
constexpr auto kJoined = TicketAction::kJoined;
constexpr auto kReplay = TicketAction::kReplay;
constexpr auto kRefuse = TicketAction::kRefuse;
constexpr auto kNotRun = Verdict::kNotRun;
constexpr auto kMayHaveRun = Verdict::kMayHaveRun;

// clang-format off
const FaultCase kCases[] = {
  { "first presentation", [](Scene&) {}, kRun },
  { "retry while queued", [](Scene& aScene) { aScene.Present(aScene.ticket_); }, kJoined },
  { "retry while running", [](Scene& aScene) { aScene.Start(); }, kJoined },
  { "retry after the answer", [](Scene& aScene) { aScene.Answer(80); }, kReplay },
  { "answer too large", [](Scene& aScene) { aScene.Answer(81); },
    kRefuse, Verdict::kRan, Reason::kAnswerNotKept },
  { "answer evicted for a later one",
    [](Scene& aScene) { aScene.Answer(80); const Ticket first = aScene.ticket_; aScene.ticket_.nonce_.low_ = 1;
                   aScene.Answer(30); aScene.ticket_ = first; },
    kRefuse, Verdict::kRan, Reason::kAnswerNotKept },
  { "late duplicate of a rejected request", [](Scene& aScene) { aScene.Close(); },
    kRefuse, kNotRun, Reason::kShedByQueue },
  { "backend server lost", [](Scene& aScene) { aScene.Abandon(); },
    kRefuse, kMayHaveRun, Reason::kBackendLost },
  { "different request while queued", [](Scene& aScene) { aScene.Present(aScene.ticket_); aScene.digest_ = 1; },
    kRefuse, kMayHaveRun, Reason::kRequestMismatch },
  { "different request after the answer", [](Scene& aScene) { aScene.Answer(1); aScene.digest_ = 1; },
    kRefuse, kMayHaveRun, Reason::kRequestMismatch },
  { "different request after a rejection", [](Scene& aScene) { aScene.Close(); aScene.digest_ = 1; },
    kRefuse, kNotRun, Reason::kRequestMismatch },
  { "oldest valid epoch", [](Scene& aScene) { aScene.PassEpochs(kWindow); }, kRun },
  { "older than the window", [](Scene& aScene) { aScene.PassEpochs(kWindow + 1); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "answered, then older than the window", [](Scene& aScene) { aScene.Answer(1); aScene.PassEpochs(kWindow + 1); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "expired, then a clock that goes back",
    [](Scene& aScene) { aScene.Answer(1); aScene.PassEpochs(kWindow + 1); aScene.now_ = Instant{}; },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "paused for longer than the window while running",
    [](Scene& aScene) { aScene.Start(); aScene.PassEpochs(10 * kWindow); }, kJoined },
  { "finished after the window", [](Scene& aScene) { aScene.Start(); aScene.PassEpochs(10 * kWindow);
    aScene.table_ = CompleteTicket(std::move(aScene.table_), aScene.ticket_, Answer{}).state_; aScene.PassEpochs(0); },
    kRefuse, kMayHaveRun, Reason::kTicketExpired },
  { "one epoch ahead", [](Scene& aScene) { aScene.ticket_.epoch_ = 2; }, kRun },
  { "two epochs ahead", [](Scene& aScene) { aScene.ticket_.epoch_ = 3; },
    kRefuse, kMayHaveRun, Reason::kTicketInvalid },
  { "two epochs ahead, then one epoch ahead",
    [](Scene& aScene) { aScene.ticket_.epoch_ = 3; aScene.Present(aScene.ticket_); aScene.PassEpochs(1); }, kRun },
  { "last possible epoch",
    [](Scene& aScene) { aScene.ticket_.epoch_ = std::numeric_limits<std::uint32_t>::max(); },
    kRefuse, kMayHaveRun, Reason::kTicketInvalid },
  { "earlier incarnation of this node", [](Scene& aScene) { aScene.ticket_.incarnation_ = { 0, 1 }; },
    kRefuse, kMayHaveRun, Reason::kTicketOfLostExecutor },
  { "another node", [](Scene& aScene) { aScene.ticket_.executor_ = NodeId{ 2 }; },
    kRefuse, kMayHaveRun, Reason::kTicketOfLostExecutor },
  { "full table", [](Scene& aScene) { aScene.Fill(); }, kRefuse, kNotRun, Reason::kTicketTableFull },
  { "refused by a full table, then free space",
    [](Scene& aScene) { aScene.Fill(); aScene.ticket_.epoch_ = 2; aScene.Present(aScene.ticket_); aScene.PassEpochs(kWindow + 1); },
    kRefuse, kNotRun, Reason::kTicketTableFull },
  { "another bucket of that epoch, then free space",
    [](Scene& aScene) { aScene.Fill(); aScene.ticket_.epoch_ = 2; aScene.Present(aScene.ticket_); aScene.ticket_.mac_.low_ = 9;
                   aScene.PassEpochs(kWindow + 1); }, kRun },
  { "full of expired tickets before AdvanceTickets()",
    [](Scene& aScene) { aScene.Fill(); aScene.now_ += seconds(30) * (kWindow + 1);
                   aScene.ticket_.epoch_ = kWindow + 2; }, kRun },
  { "too many waiters",
    [](Scene& aScene) { for (std::size_t i = 0; i < kMaxWaiters; ++i) { aScene.Present(aScene.ticket_); } },
    kRefuse, kMayHaveRun, Reason::kRepeatLimit },
  { "handed over",
    [](Scene& aScene) {
      aScene.table_ = BeginHandover(std::move(aScene.table_), NodeId{ 5 }, { 5, 5 }, aScene.now_).state_; },
    kRefuse, kMayHaveRun, Reason::kTicketMoved },
};
// clang-format on

} // namespace

Test(ticket_contract, fault_table)
{
  for (const FaultCase& row : kCases) {
    Scene scene;
    row.before_(scene);
    const TicketDecision decision = scene.Present(scene.ticket_);
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
  Scene scene;
  const TicketTable empty = scene.table_;
  for (std::uint64_t nonce = 0; nonce < 100; ++nonce) {
    scene.Present({ kSelf, kIncarnation, 3, { 1, nonce }, {} });
    scene.Present({ kSelf, { 0, nonce }, 1, { 1, nonce }, {} });
    scene.Present({ NodeId{ 3 }, kIncarnation, 1, { 1, nonce }, {} });
  }
  cr_assert(scene.table_ == empty);
}

/** A duplicate from the same requester must not cause a second reply. */
Test(ticket_contract, a_requester_waits_once)
{
  Scene scene;
  scene.Present(scene.ticket_);
  scene.requester_ = 0;
  cr_assert(scene.Present(scene.ticket_).action_ == kJoined);
  const auto told = CloseTicket(std::move(scene.table_), scene.ticket_, Reason::kDeadline).result_;
  cr_assert(told == Waiters(1, RequestId{ 1 }));
}
