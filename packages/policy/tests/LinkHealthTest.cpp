/** \file
 * Guards against calls that wait on a dead connection, and against working connections that are
 * abandoned.
 */
#include "policy/LinkHealth.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ std::chrono::hours(1) };

/** A link with outstanding calls, checked every millisecond as the event loop does. */
struct Link
{
  LinkHealth health_{ kStart, std::nullopt };
  Instant now_ = kStart;
  int pings_ = 0;

  /** Advances the time by aTime. A byte arrives every aByteInterval, or never when it is zero.
   * Returns the time until the link was closed or abandoned, or aTime when it was not. */
  Duration Run(Duration aTime, Duration aByteInterval, bool aHasOutstanding = true)
  {
    const Instant begin = now_;
    for (const Instant end = now_ + aTime; now_ < end; now_ += 1ms) {
      if (aByteInterval > 0ms && now_ > begin && (now_ - begin) % aByteInterval == 0ms) {
        health_ = RecordLinkByte(health_, now_);
      }
      const LinkAction action = CheckLink(health_, aHasOutstanding, now_);
      if (action == LinkAction::kPing) {
        ++pings_;
        health_ = RecordLinkPing(health_, now_);
      } else if (action != LinkAction::kNone) {
        return now_ - begin;
      }
    }
    return aTime;
  }
};

} // namespace

Test(link_health, actions_over_time)
{
  const struct
  {
    const char* name_;
    Duration byteInterval_;
    bool hasOutstanding_;
    Duration keptFor_;
    int pings_;
  } cases[] = {
    { "silent with calls", 0ms, true, 750ms, 1 },
    { "silent without calls", 0ms, false, 60s, 0 },
    { "bytes all the time", 100ms, true, 100s, 0 },
    { "bytes without calls", 30s, false, 100s, 0 },
    { "flapping: a byte after each ping", 700ms, true, 100s, 143 },
    { "bytes that come too late", 800ms, true, 750ms, 1 },
  };
  for (const auto& row : cases) {
    Link link;
    const Duration kept = link.Run(100s, row.byteInterval_, row.hasOutstanding_);
    cr_expect_eq(
      kept.count(), row.keptFor_.count(), "%s: %lld us", row.name_, (long long)kept.count());
    cr_expect_eq(link.pings_, row.pings_, "%s: %d pings", row.name_, link.pings_);
  }
}

/** Idle time before the first call must not count as silence of the link. */
Test(link_health, silence_is_measured_from_the_first_request)
{
  Link link;
  link.Run(50s, 0ms, false);
  link.health_ = RecordLinkUse(link.health_, link.now_);
  cr_expect_eq(link.Run(10s, 0ms).count(), Duration(750ms).count());
}

/** A byte after a ping restarts the silence period, which ends with a ping again. */
Test(link_health, a_byte_resets_the_ping)
{
  Link link;
  link.Run(600ms, 0ms);
  cr_assert_eq(link.pings_, 1);
  link.health_ = RecordLinkByte(link.health_, link.now_);
  cr_expect_eq(link.Run(10s, 0ms).count(), Duration(750ms).count());
  cr_expect_eq(link.pings_, 2);
}

Test(link_health, an_earlier_use_does_not_move_the_last_byte_back)
{
  LinkHealth health = RecordLinkByte({}, kStart + 1s);
  health = RecordLinkUse(health, kStart);
  cr_expect(health.silentSince_ == kStart + 1s);
}
