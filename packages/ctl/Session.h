/** \file
 * Runs statements of the operator language against the nodes and prints the results.
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
  /** A node refused the command or the request; `--trace` found no line. */
  kRefused = 1,
  kUsage = 2,
  /** The outcome of a command is not known, a wait timed out, or a reply could not be parsed. */
  kUnknown = 3,
  /** No node was reachable, or none could append the command to the log. */
  kNoNode = 4,
};

class Session
{
public:
  Session(Client& aClient, OutputFormat aFormat, std::ostream& aOut, std::ostream& aErrors);

  /** Runs the statements in order and stops at the first that fails. If commands were accepted,
   * then waits until the version of the last one is in effect and prints the failure domains; the
   * result of this wait does not change the status. */
  ExitStatus Run(const Script& aScript);

private:
  ExitStatus RunStatement(const Statement& aStatement);
  ExitStatus Execute(const Command& aCommand);
  ExitStatus Execute(const ShowStatement& aStatement);
  ExitStatus Execute(const WhyStatement& aStatement);
  ExitStatus Execute(const AuditStatement& aStatement);
  ExitStatus Execute(const WaitStatement& aStatement);
  ExitStatus Execute(const OutcomeStatement& aStatement);
  ExitStatus Execute(const HelpStatement& aStatement);
  ExitStatus PrintReply(const tl::expected<CommandReply, ClientError>& aReply);
  ExitStatus PrintError(const ClientError& aError);
  template<typename Doc>
  ExitStatus PrintDocument(const std::string& aPath,
                           tl::expected<Doc, UserError> (*aParse)(std::string_view));

  Client& client_;
  OutputFormat format_;
  std::ostream& out_;
  std::ostream& errors_;
  /** The last version that the operator has seen, which is the base version of the next command; 0
   * if none. An accepted command sets it only if it is 0, because other operators may have changed
   * other subjects in between. */
  std::uint64_t lastSeenVersion_ = 0;
  /** Version of this session's last accepted command on each subject. It is the base version of the
   * next command on the subject if it is above `lastSeenVersion_`. */
  std::map<std::string, std::uint64_t> acceptedVersionBySubject_;
  /** Version of the last accepted command that Run() has not yet waited for; 0 if none. */
  std::uint64_t unawaitedVersion_ = 0;
};

} // namespace fulmarway
