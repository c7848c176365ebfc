#include "model/Verdict.h"

#include <array>

namespace fulmarway {

namespace {

constexpr std::array<std::string_view, kReasonCount> kReasonNames = {
  "none",
  "invalid-request",
  "unknown-service",
  "unknown-kind",
  "too-large",
  "ticket-needed",
  "ticket-invalid",
  "ticket-closed",
  "ticket-expired",
  "ticket-of-lost-executor",
  "ticket-table-full",
  "ticket-moved",
  "request-mismatch",
  "shed-by-level",
  "shed-by-queue",
  "deadline",
  "draining",
  "no-backend-server",
  "backend-unreachable",
  "backend-lost",
  "connection-lost",
  "repeat-limit",
  "cancelled",
  "too-deep",
  "no-configuration",
  "refused-by-backend-server",
  "answer-not-kept",
  "unknown-key",
  "no-key-lease",
  "over-quota",
  "quota-unavailable",
  "unlikely-to-complete",
};

} // namespace

std::string_view
ToString(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view
ToString(Reason aReason)
{
  const auto index = static_cast<std::size_t>(aReason);
  return index < kReasonNames.size() ? kReasonNames[index] : "unknown";
}

std::optional<Verdict>
ParseVerdict(std::string_view aText)
{
  for (const Verdict verdict : { Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan }) {
    if (ToString(verdict) == aText) {
      return verdict;
    }
  }
  return std::nullopt;
}

} // namespace fulmarway
