/** \file
 * Parsed statements of the operator language.
 */
#pragma once

#include "model/Config.h"
#include "model/Ids.h"
#include "model/Time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarway {

enum class ShowTopic : std::uint8_t
{
  kServices,
  kMembers,
  kConfig,
  kShed,
  kLoad,
  kSpill,
};

struct ShowStatement
{
  ShowTopic topic_ = ShowTopic::kServices;

  bool operator==(const ShowStatement&) const = default;
};

/** Lists the refused and failed calls of one root request on a node. */
struct WhyStatement
{
  std::string rootRequestId_;

  bool operator==(const WhyStatement&) const = default;
};

struct AuditStatement
{
  /** Number of the latest commands to list. */
  std::uint32_t last_ = 20;

  bool operator==(const AuditStatement&) const = default;
};

/** Waits until the version is in effect in every reachable failure domain. */
struct WaitStatement
{
  std::uint64_t version_ = 0;
  /** docs/design.md, guarantee G8: a version is in effect on every node within 4 s. */
  Duration timeout_ = std::chrono::seconds(4);

  bool operator==(const WaitStatement&) const = default;
};

/** Queries the outcome of an earlier command. */
struct OutcomeStatement
{
  CommandId id_;

  bool operator==(const OutcomeStatement&) const = default;
};

struct HelpStatement
{
  /** First word of a statement; empty for the overview. */
  std::string topic_;

  bool operator==(const HelpStatement&) const = default;
};

/** A Command changes the configuration; all other statements only read. */
using Statement = std::variant<Command,
                               ShowStatement,
                               WhyStatement,
                               AuditStatement,
                               WaitStatement,
                               OutcomeStatement,
                               HelpStatement>;

using Script = std::vector<Statement>;

} // namespace fulmarway
