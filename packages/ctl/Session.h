/** \file
 * Runs statements against the nodes and prints their results.
 */
#pragma once

#include "ctl/Client.h"
#include "ctl/Render.h"
#include "ctl/Statement.h"
#include "model/Error.h"

#include <map>
#include <ostream>

namespace fulmarway {

/** Exit status of fulmarctl. */
enum class ExitStatus : int
{
  kDone = 0,
  /** Conflict or rejected. */
  kRefused = 1,
  kUsage = 2,
  /** The outcome of a command is not known, or a wait ended early. */
  kUnknown = 3,
  /** No node was reachable, or none could append to the log. */
  kNoNode = 4,
};

class Session
{
public:
  Session(Client& aClient, OutputFormat aFormat, std::ostream& aOut, std::ostream& aErrors);

  /** Runs all statements; stops at the first that is not done. After accepted commands, prints
   * where the last version is in effect; that does not change the status. */
  ExitStatus Run(const Script& aScript);

private:
  ExitStatus RunOne(const Statement& aStatement);
  ExitStatus Do(const Command& aCommand);
  ExitStatus Do(const ShowStatement& aStatement);
  ExitStatus Do(const WhyStatement& aStatement);
  ExitStatus Do(const AuditStatement& aStatement);
  ExitStatus Do(const WaitStatement& aStatement);
  ExitStatus Do(const OutcomeStatement& aStatement);
  ExitStatus Do(const HelpStatement& aStatement);
  ExitStatus Report(const tl::expected<CommandReply, ClientError>& aReply);
  ExitStatus Fail(const ClientError& aError);
  template<typename Doc>
  ExitStatus Show(const std::string& aPath,
                  tl::expected<Doc, UserError> (*aParse)(std::string_view));

  Client& client_;
  OutputFormat format_;
  std::ostream& out_;
  std::ostream& errors_;
  /** The version that the operator saw last, the base of the next command; 0 before any. An
   * accepted command does not raise it, because other operators may have changed other subjects
   * before it. */
  std::uint64_t seenVersion_ = 0;
  /** Versions of the operator's own accepted commands by subject; their base when higher. */
  std::map<std::string, std::uint64_t> ownVersions_;
  /** Version of the last accepted command whose effect was not reported yet; 0 when there is none.
   */
  std::uint64_t acceptedVersion_ = 0;
};

} // namespace fulmarway
