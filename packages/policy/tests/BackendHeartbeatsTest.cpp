/** \file
 * Guards against heartbeats of an earlier incarnation, or reordered ones, that overwrite the state
 * of the current incarnation of the backend server.
 */
#include "policy/BackendHeartbeats.h"

#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

const Instant kNow{ std::chrono::seconds(100) };
constexpr std::uint64_t kNoticeMs = 55;

BackendHeartbeat
Heartbeat(const std::string& aInstance, std::uint64_t aStarted, std::uint64_t aSequence)
{
  return { aInstance, aStarted, aSequence, "pricing", "10.0.0.1:80", 8, false, {} };
}

} // namespace

Test(backend_reports, only_newer_heartbeats_are_applied)
{
  const struct
  {
    const char* name_;
    BackendHeartbeat heartbeat_;
    HeartbeatVerdict verdict_;
  } cases[] = {
    { "next", Heartbeat("i-1", 50, 4), HeartbeatVerdict::kApplied },
    { "late", Heartbeat("i-1", 50, 2), HeartbeatVerdict::kOutdated },
    { "twice", Heartbeat("i-1", 50, 3), HeartbeatVerdict::kOutdated },
    { "earlier incarnation, same id", Heartbeat("i-1", 40, 9), HeartbeatVerdict::kOutdated },
    { "earlier incarnation, other id", Heartbeat("i-0", 40, 9), HeartbeatVerdict::kOutdated },
    { "later incarnation, same id", Heartbeat("i-1", 60, 1), HeartbeatVerdict::kNewIncarnation },
    { "later incarnation, other id", Heartbeat("i-2", 60, 1), HeartbeatVerdict::kNewIncarnation },
    { "other id, same start", Heartbeat("i-2", 50, 9), HeartbeatVerdict::kOutdated },
  };
  for (const auto& row : cases) {
    auto known = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 50, 3), kNow).state_;
    cr_expect(ApplyHeartbeat(known, row.heartbeat_, kNow).result_ == row.verdict_, "%s", row.name_);
  }
}

Test(backend_reports, leave_of_an_earlier_incarnation_is_ignored)
{
  const auto known = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 50, 3), kNow).state_;
  cr_expect_not(IsLeaving(ApplyLeave(known, { "i-0", 0 }, kNoticeMs, kNow).state_), "another id");
  cr_expect_not(IsLeaving(ApplyLeave(known, { "i-1", 40 }, kNoticeMs, kNow).state_),
                "an earlier start");
  cr_expect(IsLeaving(ApplyLeave(known, { "i-1", 50 }, kNoticeMs, kNow).state_));
  cr_expect(IsLeaving(ApplyLeave(known, { "i-1", 0 }, kNoticeMs, kNow).state_), "no start given");
  const auto again = ApplyHeartbeat(
    ApplyLeave(known, { "i-1", 50 }, kNoticeMs, kNow).state_, Heartbeat("i-1", 60, 1), kNow);
  cr_expect_not(IsLeaving(again.state_), "a later incarnation has not left");
}

/** Guards against a leave that is acknowledged and forgotten, since the incarnation that sent it
 * has sent no heartbeat to this process. */
Test(backend_reports, leave_before_the_first_heartbeat_holds)
{
  const auto earlier = ApplyHeartbeat(std::nullopt, Heartbeat("i-0", 40, 3), kNow).state_;
  for (const auto& known : { std::optional<BackendInstance>{}, earlier }) {
    const auto [left, isApplied] = ApplyLeave(known, { "i-1", 50 }, kNoticeMs, kNow);
    cr_expect(isApplied && IsLeaving(left));
    cr_expect_not(IsUsable(left, kNow));
    cr_expect(IsLeaving(ApplyHeartbeat(left, Heartbeat("i-1", 50, 9), kNow).state_));
    const auto next = ApplyHeartbeat(left, Heartbeat("i-1", 60, 1), kNow).state_;
    cr_expect(IsUsable(next, kNow) && !IsLeaving(next), "a later incarnation is used");
  }
}

/** Guards against heartbeats from before a departure that a new process of the node takes for those
 * of a new incarnation. */
Test(backend_reports, departure_outlives_the_process)
{
  auto drained = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 50, 3), kNow).state_;
  cr_expect_not(DepartureOf(drained).has_value());
  BackendHeartbeat draining = Heartbeat("i-1", 50, 4);
  draining.draining_ = true;
  drained = ApplyHeartbeat(drained, draining, kNow).state_;
  const auto left = ApplyLeave(drained, { "i-1", 50 }, kNoticeMs, kNow).state_;
  const auto whileDraining = DepartureOf(drained);
  const auto final = DepartureOf(left);
  cr_expect(IsLaterDeparture(whileDraining, std::nullopt));
  cr_expect(IsLaterDeparture(final, whileDraining) && !IsLaterDeparture(whileDraining, final));
  const auto inUse = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 50, 3), kNow).state_;
  const auto other = ApplyHeartbeat(std::nullopt, Heartbeat("i-2", 60, 1), kNow).state_;
  // The departure becomes known after the first heartbeat.
  const auto restored = ApplyDeparture(inUse, *final, kNow);
  cr_expect(restored.result_ && IsLeaving(restored.state_));
  cr_expect(IsLeaving(ApplyHeartbeat(restored.state_, Heartbeat("i-1", 50, 9), kNow).state_));
  cr_expect_not(ApplyDeparture(restored.state_, *final, kNow).result_, "only once");
  const auto again = ApplyDeparture(inUse, *whileDraining, kNow).state_;
  cr_expect(IsLeaving(ApplyHeartbeat(again, Heartbeat("i-1", 50, 3), kNow).state_), "late");
  cr_expect_not(IsLeaving(ApplyHeartbeat(again, Heartbeat("i-1", 50, 5), kNow).state_),
                "the backend server has taken it back since");
  // The departure is known before the first heartbeat.
  cr_expect(IsBeforeDeparture(Heartbeat("i-1", 50, 9), *final));
  cr_expect(IsBeforeDeparture(Heartbeat("i-1", 50, 4), *whileDraining));
  cr_expect_not(IsBeforeDeparture(Heartbeat("i-1", 50, 5), *whileDraining));
  cr_expect(IsBeforeDeparture(Heartbeat("i-0", 40, 9), *whileDraining));
  cr_expect_not(IsBeforeDeparture(Heartbeat("i-1", 60, 1), *final));
  cr_expect_not(IsLeaving(ApplyDeparture(other, *final, kNow).state_), "of an earlier one");
}

/** Guards against a leave without a start time that other processes of the node take for one of the
 * earliest incarnation, so that a late heartbeat undoes it. */
Test(backend_reports, departure_without_a_start_time_outlives_the_process)
{
  const auto earlier = ApplyHeartbeat(std::nullopt, Heartbeat("i-0", 40, 3), kNow).state_;
  const auto earlierLeft = ApplyLeave(earlier, { "i-0", 40 }, kNoticeMs, kNow).state_;
  const struct
  {
    const char* name_;
    BackendHeartbeat heartbeat_;
    bool hasLeft_;
  } cases[] = {
    { "the same", Heartbeat("i-1", 50, 9), true },
    { "started at the notice", Heartbeat("i-1", kNoticeMs, 9), true },
    { "earlier incarnation, same id", Heartbeat("i-1", 30, 9), true },
    { "earlier incarnation that had left", Heartbeat("i-0", 40, 9), true },
    { "later incarnation, same id", Heartbeat("i-1", kNoticeMs + 1, 1), false },
    { "later incarnation, other id", Heartbeat("i-2", kNoticeMs + 1, 1), false },
    { "other id, started before a late notice", Heartbeat("i-2", kNoticeMs - 1, 1), false },
  };
  for (const auto& row : cases) {
    const auto left = ApplyLeave(earlierLeft, { "i-1", 0 }, kNoticeMs, kNow);
    cr_assert(left.result_);
    cr_expect_eq(IsLeaving(ApplyHeartbeat(left.state_, row.heartbeat_, kNow).state_),
                 row.hasLeft_,
                 "the process that took the leave: %s",
                 row.name_);
    const auto departure = DepartureOf(left.state_);
    cr_expect_eq(IsBeforeDeparture(row.heartbeat_, *departure),
                 row.hasLeft_,
                 "heartbeat after the departure: %s",
                 row.name_);
    const auto inUse = ApplyHeartbeat(std::nullopt, row.heartbeat_, kNow).state_;
    const auto restored = ApplyDeparture(inUse, *departure, kNow);
    cr_expect(restored.result_ == row.hasLeft_ && IsLeaving(restored.state_) == row.hasLeft_,
              "heartbeat before the departure: %s",
              row.name_);
    const auto twice = ApplyDeparture(restored.state_, *departure, kNow);
    cr_expect(!twice.result_ && twice.state_ == restored.state_, "%s", row.name_);
  }
}

/** Guards against a departure without a start time that gives way in the record to that of an
 * earlier incarnation, or stays in place of that of a later one. */
Test(backend_reports, departure_without_a_start_time_counts_from_its_notice)
{
  const auto earlier = BackendDeparture{ "i-0", 40, 3, true };
  const auto noticed = DepartureOf(ApplyLeave(std::nullopt, { "i-1", 0 }, kNoticeMs, kNow).state_);
  const auto again =
    DepartureOf(ApplyLeave(std::nullopt, { "i-1", 0 }, kNoticeMs + 2, kNow).state_);
  const auto later = BackendDeparture{ "i-1", kNoticeMs + 1, 1, false };
  cr_expect(IsLaterDeparture(noticed, earlier) && !IsLaterDeparture(earlier, noticed));
  cr_expect(IsLaterDeparture(later, noticed) && !IsLaterDeparture(noticed, later));
  cr_expect(IsLaterDeparture(again, later) && !IsLaterDeparture(later, again));
  // A process that takes the notice first and then reads of the earlier one.
  const auto left = ApplyLeave(std::nullopt, { "i-1", 0 }, kNoticeMs, kNow).state_;
  const auto informed = ApplyDeparture(left, earlier, kNow).state_;
  cr_expect(IsLeaving(ApplyHeartbeat(informed, Heartbeat("i-0", 40, 9), kNow).state_));
  cr_expect(IsLeaving(ApplyHeartbeat(informed, Heartbeat("i-1", 50, 9), kNow).state_));
  // Heartbeats without a start time came before the notice.
  const auto unknown = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 0, 3), kNow).state_;
  const auto unknownLeft = DepartureOf(ApplyLeave(unknown, { "i-1", 0 }, kNoticeMs, kNow).state_);
  cr_expect(IsBeforeDeparture(Heartbeat("i-1", 50, 9), *unknownLeft));
  // A notice that names the start time after all changes nothing.
  const auto repeated = ApplyLeave(informed, { "i-1", 50 }, kNoticeMs + 9, kNow);
  cr_expect(repeated.result_ && DepartureOf(repeated.state_) == DepartureOf(informed));
}

Test(backend_reports, silence_and_failed_connections_end_the_use)
{
  auto known = ApplyHeartbeat(std::nullopt, Heartbeat("i-1", 50, 3), kNow).state_;
  cr_expect(IsUsable(known, kNow + kHeartbeatTimeout - Duration(1)));
  cr_expect_not(IsUsable(known, kNow + kHeartbeatTimeout));
  known->failedConnects_ = kFailedConnectsUntilLost;
  cr_expect_not(IsUsable(known, kNow));
  known = ApplyHeartbeat(known, Heartbeat("i-1", 50, 4), kNow).state_;
  cr_expect(IsUsable(known, kNow), "a heartbeat makes it usable again");
  cr_expect_not(IsUsable(std::nullopt, kNow));
}
