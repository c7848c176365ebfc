#include "ctl/Session.h"

#include "ctl/Text.h"
#include "wire/ControlJson.h"

#include <Poco/URI.h>
#include <algorithm>
#include <type_traits>
#include <utility>

namespace fulmarway {

namespace {

constexpr Duration kWaitPollInterval = std::chrono::milliseconds(100);

/** Whether at least one domain is reachable and the version is in effect on all members of the
 * reachable domains. */
bool
IsInEffect(const InForceDocument& aDocument)
{
  const auto reachable = [](const DomainInForce& aDomain) { return aDomain.reachable_; };
  return std::any_of(aDocument.domains_.begin(), aDocument.domains_.end(), reachable) &&
         std::all_of(
           aDocument.domains_.begin(), aDocument.domains_.end(), [](const DomainInForce& aDomain) {
             return !aDomain.reachable_ || aDomain.inForce_ >= aDomain.members_;
           });
}

std::string
EncodeQueryValue(const std::string& aText)
{
  std::string encoded;
  Poco::URI::encode(aText, "&=+?#/%", encoded);
  return encoded;
}

} // namespace

Session::Session(Client& aClient, OutputFormat aFormat, std::ostream& aOut, std::ostream& aErrors)
  : client_(aClient)
  , format_(aFormat)
  , out_(aOut)
  , errors_(aErrors)
{
}

ExitStatus
Session::Run(const Script& aScript)
{
  ExitStatus status = ExitStatus::kDone;
  for (const Statement& statement : aScript) {
    status = RunStatement(statement);
    if (status != ExitStatus::kDone) {
      break;
    }
  }
  if (const std::uint64_t accepted = std::exchange(unawaitedVersion_, 0); accepted > 0) {
    Execute(WaitStatement{ accepted });
  }
  return status;
}

ExitStatus
Session::RunStatement(const Statement& aStatement)
{
  return std::visit([this](const auto& aAlternative) { return Execute(aAlternative); }, aStatement);
}

ExitStatus
Session::PrintError(const ClientError& aError)
{
  const bool refused = aError.code_ == ClientErrorCode::kRefused;
  errors_ << (refused ? "refused: " : "no node reachable: ") << Printable(aError.message_) << '\n';
  return refused ? ExitStatus::kRefused : ExitStatus::kNoNode;
}

template<typename Doc>
ExitStatus
Session::PrintDocument(const std::string& aPath,
                       tl::expected<Doc, UserError> (*aParse)(std::string_view))
{
  const auto body = client_.Get(aPath);
  if (!body) {
    return PrintError(body.error());
  }
  const auto document = aParse(*body);
  if (!document) {
    errors_ << "cannot parse the reply of the node: " << Printable(document.error().subject_) << ' '
            << Printable(document.error().message_) << '\n';
    return ExitStatus::kUnknown;
  }
  if constexpr (std::is_same_v<Doc, ServicesDocument> || std::is_same_v<Doc, ConfigDocument>) {
    lastSeenVersion_ = document->version_;
  }
  out_ << Render(*document, format_);
  return ExitStatus::kDone;
}

ExitStatus
Session::PrintReply(const tl::expected<CommandReply, ClientError>& aReply)
{
  if (!aReply) {
    return PrintError(aReply.error());
  }
  out_ << Render(*aReply, format_);
  switch (aReply->outcome_) {
    case ReplyOutcome::kAccepted:
      return ExitStatus::kDone;
    case ReplyOutcome::kConflict:
    case ReplyOutcome::kRejected:
    case ReplyOutcome::kInvalid:
      return ExitStatus::kRefused;
    case ReplyOutcome::kUnavailable:
      return ExitStatus::kNoNode;
    case ReplyOutcome::kUnknown:
      break;
  }
  return ExitStatus::kUnknown;
}

ExitStatus
Session::Execute(const Command& aCommand)
{
  std::uint64_t& subjectVersion = acceptedVersionBySubject_[SubjectOf(aCommand)];
  const auto reply =
    client_.SendCommand(FormatCommand(aCommand), std::max(lastSeenVersion_, subjectVersion));
  if (reply && reply->outcome_ == ReplyOutcome::kAccepted) {
    unawaitedVersion_ = reply->version_;
    subjectVersion = reply->version_;
    if (lastSeenVersion_ == 0) {
      lastSeenVersion_ = reply->version_;
    }
  }
  return PrintReply(reply);
}

ExitStatus
Session::Execute(const ShowStatement& aStatement)
{
  switch (aStatement.topic_) {
    case ShowTopic::kServices:
      return PrintDocument("/control/v1/services", ParseServicesDocument);
    case ShowTopic::kMembers:
      return PrintDocument("/control/v1/members", ParseMembersDocument);
    case ShowTopic::kConfig:
      return PrintDocument("/control/v1/config", ParseConfigDocument);
    case ShowTopic::kShed:
      return PrintDocument("/control/v1/shed", ParseShedDocument);
    case ShowTopic::kLoad:
      return PrintDocument("/control/v1/load", ParseLoadDocument);
    case ShowTopic::kSpill:
      return PrintDocument("/control/v1/spill", ParseSpillDocument);
  }
  return ExitStatus::kUsage;
}

ExitStatus
Session::Execute(const WhyStatement& aStatement)
{
  return PrintDocument("/control/v1/why?click=" + EncodeQueryValue(aStatement.rootRequestId_),
                       ParseWhyDocument);
}

ExitStatus
Session::Execute(const AuditStatement& aStatement)
{
  return PrintDocument("/control/v1/audit?last=" + std::to_string(aStatement.last_),
                       ParseAuditDocument);
}

ExitStatus
Session::Execute(const WaitStatement& aStatement)
{
  const std::string path = "/control/v1/inforce?version=" + std::to_string(aStatement.version_);
  const ClientEnvironment& environment = client_.Environment();
  const Instant deadline = environment.now_() + aStatement.timeout_;
  for (;;) {
    const auto body = client_.Get(path);
    if (!body) {
      return PrintError(body.error());
    }
    const auto document = ParseInForceDocument(*body);
    const bool isInEffect = document && IsInEffect(*document);
    if (isInEffect || !document || environment.now_() >= deadline) {
      out_ << (document ? Render(*document, format_) : "");
      if (!isInEffect) {
        errors_ << "version " << aStatement.version_
                << " is not in effect in every reachable failure domain\n";
      }
      return isInEffect ? ExitStatus::kDone : ExitStatus::kUnknown;
    }
    environment.sleep_(kWaitPollInterval);
  }
}

ExitStatus
Session::Execute(const OutcomeStatement& aStatement)
{
  return PrintReply(client_.QueryOutcome(aStatement.id_));
}

ExitStatus
Session::Execute(const HelpStatement& aStatement)
{
  out_ << HelpText(aStatement.topic_);
  return ExitStatus::kDone;
}

} // namespace fulmarway
