/** \file
 * Guards against commands that no node could enforce: every value out of range is rejected, and the
 * message names it.
 */
#include "policy/ConfigFold.h"

#include <criterion/criterion.h>

using namespace fulmarway;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

Configuration
Base()
{
  Configuration config;
  config.services_["a"] = ServiceSpec{ "a", 10, 100, 0, 25, { { "k", KindSpec{ "k" } } } };
  config.drained_.insert("10.0.0.9:1");
  return config;
}

DeclareKind
Kind(std::uint32_t aAttempts, Duration aDeadline)
{
  return { "a", { "k", Importance::kNormal, true, aAttempts, aDeadline, false } };
}

struct Case
{
  Command command_;
  /** nullptr when the command is valid. */
  const char* fault_;
};

} // namespace

Test(command_check, values)
{
  const std::string name64(64, 'x');
  const std::string name65(65, 'x');
  const auto unknownImportance = static_cast<Importance>(4);
  const Case cases[] = {
    { DeclareService{ "b", 1, 1, 0 }, nullptr },
    { DeclareService{ name64, 10000, 100000, 100 }, nullptr },
    { DeclareService{ name65, 1, 1, 0 }, "service name" },
    { DeclareService{ "", 1, 1, 0 }, "service name" },
    { DeclareService{ "Up", 1, 1, 0 }, "service name Up" },
    { DeclareService{ "a b", 1, 1, 0 }, "service name a b" },
    { DeclareService{ "b", 0, 1, 0 }, "slots 0: must be 1 to 10000" },
    { DeclareService{ "b", 10001, 1, 0 }, "slots 10001" },
    { DeclareService{ "b", 1, 0, 0 }, "connections 0: must be 1 to 100000" },
    { DeclareService{ "b", 1, 100001, 0 }, "connections 100001" },
    { DeclareService{ "b", 1, 1, 101 }, "long-share 101: must be 0 to 100" },
    { Kind(0, milliseconds(1)), nullptr },
    { Kind(16, minutes(10)), nullptr },
    { Kind(17, milliseconds(1)), "attempts 17: must be 0 to 16" },
    { Kind(0, milliseconds(0)), "deadline" },
    { Kind(0, milliseconds(-1)), "deadline" },
    { Kind(0, microseconds(1500)), "deadline" },
    { Kind(0, minutes(10) + milliseconds(1)), "deadline" },
    { DeclareKind{ "b", { "k" } }, "service b: is not declared" },
    { DeclareKind{ "a", { "K" } }, "kind name K" },
    { DeclareKind{ "a", { "new", unknownImportance } }, "importance" },
    { SetPriority{ "a", "k", Importance::kLow }, nullptr },
    { SetPriority{ "a", "k", unknownImportance }, "importance" },
    { SetPriority{ "a", "j", Importance::kLow }, "kind j: service a has no such kind" },
    { SetPriority{ "b", "k", Importance::kLow }, "service b: is not declared" },
    { SetLimit{ "a", 10 }, nullptr },
    { SetLimit{ "a", 0 }, nullptr },
    { SetLimit{ "a", 11 }, "limit 11: service a has 10 slots" },
    { SetLimit{ "b", 1 }, "service b: is not declared" },
    { SetDrain{ "10.0.0.1:7000", true }, nullptr },
    { SetDrain{ "[fd00::1]:7000", true }, nullptr },
    { SetDrain{ "10.0.0.9:1", true }, nullptr },
    { SetDrain{ "10.0.0.9:1", false }, nullptr },
    { SetDrain{ "10.0.0.1:7000", false }, "address 10.0.0.1:7000: is not drained" },
    { SetDrain{ "localhost:7000", true }, "address localhost:7000: must be IP:port" },
    { SetDrain{ "10.0.0.1", true }, "address 10.0.0.1: must be IP:port" },
    { SetDrain{ "10.0.0.1:", true }, "must be IP:port" },
    { SetDrain{ "10.0.0.1:0", true }, "must be IP:port" },
    { SetDrain{ "10.0.0.1:07000", true }, "must be IP:port" },
    { SetDrain{ "10.0.0.1:65536", true }, "must be IP:port" },
    { SetDrain{ "10.0.0.256:1", true }, "must be IP:port" },
    { SetDrain{ "fd00::1:7000", true }, "must be IP:port" },
    { SetDrain{ "[FD00::1]:7000", true }, "must be IP:port" },
    { SetDrain{ std::string("10.0.0.1\0:7000", 14), true }, "must be IP:port" },
    { SetDrain{ "", true }, "must be IP:port" },
  };
  for (const Case& test : cases) {
    const auto fault = CheckCommand(Base(), test.command_);
    const std::string text = FormatCommand(test.command_);
    if (test.fault_ == nullptr) {
      cr_assert_not(fault.has_value(), "%s: %s", text.c_str(), fault ? fault->c_str() : "");
    } else {
      cr_assert(fault.has_value(), "accepted: %s", text.c_str());
      cr_assert_neq(
        fault->find(test.fault_), std::string::npos, "%s: %s", text.c_str(), fault->c_str());
    }
  }
}

Test(command_check, counts_are_bounded)
{
  Configuration config = Base();
  while (config.services_.size() < kMaxServices) {
    config.services_["s" + std::to_string(config.services_.size())] = {};
  }
  cr_assert(CheckCommand(config, DeclareService{ "one-more", 1, 1, 0 }).has_value());
  cr_assert_not(CheckCommand(config, DeclareService{ "a", 1, 1, 0 }).has_value());
  auto& kinds = config.services_["a"].kinds_;
  while (kinds.size() < kMaxKindsPerService) {
    kinds["k" + std::to_string(kinds.size())] = {};
  }
  cr_assert(CheckCommand(config, DeclareKind{ "a", { "one-more" } }).has_value());
  cr_assert_not(CheckCommand(config, DeclareKind{ "a", { "k" } }).has_value());
  for (int i = 0; config.drained_.size() < kMaxDrained; ++i) {
    config.drained_.insert("10.1.0.1:" + std::to_string(i));
  }
  cr_assert(CheckCommand(config, SetDrain{ "10.0.0.1:1", true }).has_value());
  cr_assert_not(CheckCommand(config, SetDrain{ "10.0.0.9:1", true }).has_value());
}
