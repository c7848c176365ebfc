#include "policy/ConfigFold.h"

#include "model/Address.h"

#include <string_view>

namespace fulmarway {

namespace {

using ValidationError = std::optional<std::string>;

constexpr std::uint32_t kMaxPercent = 100;

ValidationError
CheckName(std::string_view aWhat, const std::string& aName)
{
  if (IsName(aName)) {
    return std::nullopt;
  }
  return std::string(aWhat) + " name " + aName + ": must be 1 to " + std::to_string(kMaxNameBytes) +
         " characters of a-z, 0-9 and -";
}

ValidationError
CheckRange(std::string_view aWhat, std::uint64_t aValue, std::uint64_t aLow, std::uint64_t aHigh)
{
  if (aValue >= aLow && aValue <= aHigh) {
    return std::nullopt;
  }
  return std::string(aWhat) + " " + std::to_string(aValue) + ": must be " + std::to_string(aLow) +
         " to " + std::to_string(aHigh);
}

ValidationError
CheckImportance(Importance aImportance)
{
  if (static_cast<std::size_t>(aImportance) < kImportanceCount) {
    return std::nullopt;
  }
  return "importance: must be critical, high, normal or low";
}

ValidationError
CheckAddress(const std::string& aAddress)
{
  if (IsNumericAddress(aAddress)) {
    return std::nullopt;
  }
  return "address " + aAddress + ": must be IP:port, for example 10.0.0.1:7000 or [fd00::1]:7000";
}

/** Returns the first fault of several checks. */
template<typename... ValidationErrors>
ValidationError
FirstOf(ValidationErrors... aErrors)
{
  ValidationError first;
  ((first ? void() : void(first = std::move(aErrors))), ...);
  return first;
}

struct CheckVisitor
{
  const Configuration& config_;

  ValidationError operator()(const DeclareService& aCommand) const
  {
    if (ValidationError error = CheckName("service", aCommand.service_)) {
      return error;
    }
    if (config_.services_.size() >= kMaxServices &&
        !config_.services_.contains(aCommand.service_)) {
      return "service " + aCommand.service_ + ": there are " + std::to_string(kMaxServices) +
             " services already";
    }
    return FirstOf(CheckRange("slots", aCommand.slots_, 1, kMaxSlots),
                   CheckRange("connections", aCommand.connections_, 1, kMaxConnections),
                   CheckRange("long-share", aCommand.longSharePercent_, 0, kMaxPercent));
  }

  ValidationError operator()(const DeclareKind& aCommand) const
  {
    const KindSpec& kind = aCommand.kind_;
    if (ValidationError error =
          FirstOf(CheckService(aCommand.service_), CheckName("kind", kind.name_))) {
      return error;
    }
    const auto& kinds = config_.services_.at(aCommand.service_).kinds_;
    if (kinds.size() >= kMaxKindsPerService && !kinds.contains(kind.name_)) {
      return "kind " + kind.name_ + ": service " + aCommand.service_ + " has " +
             std::to_string(kMaxKindsPerService) + " kinds already";
    }
    return FirstOf(CheckImportance(kind.importance_),
                   CheckRange("attempts", kind.extraAttempts_, 0, kMaxExtraAttempts),
                   CheckDeadline(kind.deadline_));
  }

  ValidationError operator()(const SetPriority& aCommand) const
  {
    if (ValidationError error =
          FirstOf(CheckService(aCommand.service_), CheckName("kind", aCommand.kind_))) {
      return error;
    }
    if (!config_.services_.at(aCommand.service_).kinds_.contains(aCommand.kind_)) {
      return "kind " + aCommand.kind_ + ": service " + aCommand.service_ + " has no such kind";
    }
    return CheckImportance(aCommand.importance_);
  }

  ValidationError operator()(const SetLimit& aCommand) const
  {
    if (ValidationError error = CheckService(aCommand.service_)) {
      return error;
    }
    const std::uint32_t slots = config_.services_.at(aCommand.service_).slots_;
    if (aCommand.limit_ > slots) {
      return "limit " + std::to_string(aCommand.limit_) + ": service " + aCommand.service_ +
             " has " + std::to_string(slots) + " slots, so it would have no effect";
    }
    return std::nullopt;
  }

  ValidationError operator()(const SetDrain& aCommand) const
  {
    if (ValidationError error = CheckAddress(aCommand.peerAddress_)) {
      return error;
    }
    const bool drained = config_.drained_.contains(aCommand.peerAddress_);
    if (!aCommand.draining_ && !drained) {
      return "address " + aCommand.peerAddress_ + ": is not drained";
    }
    if (aCommand.draining_ && !drained && config_.drained_.size() >= kMaxDrained) {
      return "address " + aCommand.peerAddress_ + ": " + std::to_string(kMaxDrained) +
             " nodes are drained already";
    }
    return std::nullopt;
  }

  ValidationError CheckService(const std::string& aService) const
  {
    ValidationError error = CheckName("service", aService);
    if (!error && !config_.services_.contains(aService)) {
      error = "service " + aService + ": is not declared";
    }
    return error;
  }

  /** Allows whole milliseconds only, because the operator language has no smaller unit. */
  static ValidationError CheckDeadline(Duration aDeadline)
  {
    if (aDeadline > Duration::zero() && aDeadline <= kMaxKindDeadline &&
        aDeadline % std::chrono::milliseconds(1) == Duration::zero()) {
      return std::nullopt;
    }
    return "deadline: must be 1ms to 10min, in whole milliseconds";
  }
};

} // namespace

std::optional<std::string>
CheckCommand(const Configuration& aConfig, const Command& aCommand)
{
  return std::visit(CheckVisitor{ aConfig }, aCommand);
}

} // namespace fulmarway
