/** \file
 * Guards against a backend server that is considered down while it answers requests, considered up
 * while it does not, or that flaps with every check.
 */
#include "policy/BackendHealth.h"

#include <criterion/criterion.h>
#include <string>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ std::chrono::hours(1) };

/** Applies one event every 500 ms: '+' passed check, '-' failed check, 'a' answer to a request,
 * '.' nothing. Returns the state after each event: 'U' for up, 'd' for down. */
std::string
StatesAfter(const std::string& aEvents)
{
  BackendHealth health;
  std::string states;
  Instant now = kStart;
  for (const char event : aEvents) {
    if (event == '+' || event == '-') {
      health = RecordHealthCheck(health, event == '+', now);
    } else if (event == 'a') {
      health = RecordBackendAnswer(health, now);
    }
    states += health.healthy_ ? 'U' : 'd';
    now += 500ms;
  }
  return states;
}

} // namespace

Test(backend_health, event_table)
{
  const struct
  {
    const char* name_;
    const char* events_;
    const char* states_;
  } cases[] = {
    { "down until the first passed check", "..-+", "dddU" },
    { "answers alone do not make it ready", "aa", "dd" },
    { "two failed checks are not enough", "+--+--+", "UUUUUUU" },
    { "three failed checks in a row", "+---", "UUUd" },
    { "silence: checks that time out", "+-----", "UUUddd" },
    { "one passed check restores it", "+---+", "UUUdU" },
    { "failed checks while requests are answered", "+a-a-a-a-a-", "UUUUUUUUUUU" },
    { "failed checks continue after the last answer", "+a------", "UUUUUddd" },
    { "an answer that is 2 s old no longer counts", "+a.--.-", "UUUUUUd" },
    { "an answer does not end the down state", "+---a", "UUUdd" },
    { "flapping checks keep it up", "+-+-+-+-", "UUUUUUUU" },
    { "three failures between passed checks", "+---+---+", "UUUdUUUdU" },
  };
  for (const auto& row : cases) {
    cr_expect_eq(
      StatesAfter(row.events_), row.states_, "%s: %s", row.name_, StatesAfter(row.events_).c_str());
  }
}

/** An answer overrides failed checks for 2 s after it arrived. */
Test(backend_health, an_answer_counts_until_two_seconds_after_it)
{
  BackendHealth health = RecordHealthCheck({}, true, kStart);
  health = RecordBackendAnswer(health, kStart);
  for (int check = 0; check < 3; ++check) {
    health = RecordHealthCheck(health, false, kStart + 2s - 1us);
  }
  cr_expect(health.healthy_);
  cr_expect(!RecordHealthCheck(health, false, kStart + 2s).healthy_);
}
