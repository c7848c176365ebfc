#include "ctl/Session.h"

#include "ctl/Text.h"
#include "wire/ControlJson.h"

#include <Poco/URI.h>
#include <algorithm>
#include <type_traits>
#include <utility>

namespace fulmarway {

namespace {

constexpr Duration kWaitPause = std::chrono::milliseconds(100);

/** Whether at least one domain is reachable and the version is in effect on all members of the
 * reachable domains. */
bool
IsInForce(const InForceDocument& aDocument)
{
  const auto reachable = [](const DomainInForce& aDomain) { return aDomain.reachable_; };
  return std::any_of(aDocument.domains_.begin(), aDocument.domains_.end(), reachable) &&
         std::all_of(
           aDocument.domains_.begin(), aDocument.domains_.end(), [](const DomainInForce& aDomain) {
             return !aDomain.reachable_ || aDomain.inForce_ >= aDomain.members_;
           });
}

std::string
Encode(const std::string& aText)
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
    status = RunOne(statement);
    if (status != ExitStatus::kDone) {
      break;
    }
  }
  if (const std::uint64_t accepted = std::exchange(acceptedVersion_, 0); accepted > 0) {
    Do(WaitStatement{ accepted });
  }
  return status;
}

ExitStatus
Session::RunOne(const Statement& aStatement)
{
  return std::visit([this](const auto& aAlternative) { return Do(aAlternative); }, aStatement);
}

ExitStatus
Session::Fail(const ClientError& aError)
{
  const bool refused = aError.fault_ == ClientFault::kRefused;
  errors_ << (refused ? "refused: " : "no node reachable: ") << Printable(aError.message_) << '\n';
  return refused ? ExitStatus::kRefused : ExitStatus::kNoNode;
}

template<typename Doc>
ExitStatus
Session::Show(const std::string& aPath, tl::expected<Doc, UserError> (*aParse)(std::string_view))
{
  const auto body = client_.Get(aPath);
  if (!body) {
    return Fail(body.error());
  }
  const auto document = aParse(*body);
  if (!document) {
    errors_ << "cannot parse the reply of the node: " << Printable(document.error().subject_) << ' '
            << Printable(document.error().message_) << '\n';
    return ExitStatus::kUnknown;
  }
  if constexpr (std::is_same_v<Doc, ServicesDocument> || std::is_same_v<Doc, ConfigDocument>) {
    seenVersion_ = document->version_;
  }
  out_ << Render(*document, format_);
  return ExitStatus::kDone;
}

ExitStatus
Session::Report(const tl::expected<CommandReply, ClientError>& aReply)
{
  if (!aReply) {
    return Fail(aReply.error());
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
Session::Do(const Command& aCommand)
{
  std::uint64_t& ownVersion = ownVersions_[SubjectOf(aCommand)];
  const auto reply = client_.Send(Describe(aCommand), std::max(seenVersion_, ownVersion));
  if (reply && reply->outcome_ == ReplyOutcome::kAccepted) {
    acceptedVersion_ = reply->version_;
    ownVersion = reply->version_;
    if (seenVersion_ == 0) {
      seenVersion_ = reply->version_;
    }
  }
  return Report(reply);
}

ExitStatus
Session::Do(const ShowStatement& aStatement)
{
  switch (aStatement.topic_) {
    case ShowTopic::kServices:
      return Show("/control/v1/services", ParseServicesDocument);
    case ShowTopic::kMembers:
      return Show("/control/v1/members", ParseMembersDocument);
    case ShowTopic::kConfig:
      return Show("/control/v1/config", ParseConfigDocument);
    case ShowTopic::kShed:
      return Show("/control/v1/shed", ParseShedDocument);
    case ShowTopic::kLoad:
      return Show("/control/v1/load", ParseLoadDocument);
  }
  return ExitStatus::kUsage;
}

ExitStatus
Session::Do(const WhyStatement& aStatement)
{
  return Show("/control/v1/why?click=" + Encode(aStatement.clickId_), ParseWhyDocument);
}

ExitStatus
Session::Do(const AuditStatement& aStatement)
{
  return Show("/control/v1/audit?last=" + std::to_string(aStatement.last_), ParseAuditDocument);
}

ExitStatus
Session::Do(const WaitStatement& aStatement)
{
  const std::string path = "/control/v1/inforce?version=" + std::to_string(aStatement.version_);
  const ClientEnvironment& environment = client_.Environment();
  const Instant deadline = environment.now_() + aStatement.timeout_;
  for (;;) {
    const auto body = client_.Get(path);
    if (!body) {
      return Fail(body.error());
    }
    const auto document = ParseInForceDocument(*body);
    const bool inForce = document && IsInForce(*document);
    if (inForce || !document || environment.now_() >= deadline) {
      out_ << (document ? Render(*document, format_) : "");
      if (!inForce) {
        errors_ << "version " << aStatement.version_
                << " is not in effect in every reachable failure domain\n";
      }
      return inForce ? ExitStatus::kDone : ExitStatus::kUnknown;
    }
    environment.pause_(kWaitPause);
  }
}

ExitStatus
Session::Do(const OutcomeStatement& aStatement)
{
  return Report(client_.Inquire(aStatement.id_));
}

ExitStatus
Session::Do(const HelpStatement& aStatement)
{
  out_ << HelpText(aStatement.topic_);
  return ExitStatus::kDone;
}

} // namespace fulmarway
