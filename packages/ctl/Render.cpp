#include "ctl/Render.h"

#include "ctl/Text.h"
#include "wire/ControlJson.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace fulmarway {

namespace {

/** Whether a refusal is load shedding, which protects the capacity of a backend server. Other
 * refusals have unrelated causes, such as a cancellation by the caller. */
bool
IsShed(Reason aReason)
{
  return aReason == Reason::kShedByLevel || aReason == Reason::kShedByQueue ||
         aReason == Reason::kDeadline || aReason == Reason::kUnlikelyToComplete;
}

template<typename Doc>
std::string
ToJsonLine(const Doc& aDocument)
{
  return ToJson(aDocument) + '\n';
}

std::string
FormatDuration(Duration aDuration)
{
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return ms % 1000 == 0 ? std::to_string(ms / 1000) + 's' : std::to_string(ms) + "ms";
}

/** Formats milliseconds since 1970 as UTC, "2026-12-04 09:05:25.123". Returns the plain number if
 * the year has more than four digits. */
std::string
FormatWallTime(std::uint64_t aMilliseconds)
{
  constexpr std::uint64_t kFirstMsOfYear10000 = 253402300800000;
  const auto seconds = static_cast<std::time_t>(aMilliseconds / 1000);
  std::tm utc{};
  char date[sizeof "YYYY-MM-DD hh:mm:ss"];
  if (aMilliseconds >= kFirstMsOfYear10000 || gmtime_r(&seconds, &utc) == nullptr ||
      std::strftime(date, sizeof date, "%Y-%m-%d %H:%M:%S", &utc) == 0) {
    return std::to_string(aMilliseconds);
  }
  char fraction[sizeof ".000"];
  std::snprintf(fraction, sizeof fraction, ".%03u", static_cast<unsigned>(aMilliseconds % 1000));
  return std::string(date) + fraction;
}

std::string
FormatOffset(std::uint64_t aMicroseconds)
{
  char text[sizeof "+18446744073709551615.000ms"];
  std::snprintf(text,
                sizeof text,
                "+%llu.%03llums",
                static_cast<unsigned long long>(aMicroseconds / 1000),
                static_cast<unsigned long long>(aMicroseconds % 1000));
  return text;
}

std::string
FormatLimit(std::uint32_t aLimit)
{
  return aLimit == 0 ? "none" : std::to_string(aLimit);
}

std::string
OrDash(const std::string& aText)
{
  return aText.empty() ? "-" : aText;
}

std::string
RenderServicesTable(const ServicesDocument& aDocument)
{
  std::vector<Row> rows;
  for (const ServiceSpec& service : aDocument.services_) {
    rows.push_back({ service.name_,
                     std::to_string(service.slots_),
                     std::to_string(service.connections_),
                     FormatLimit(service.limit_),
                     std::to_string(service.longSharePercent_) + '%' });
  }
  return RenderTable({ { "SERVICE" },
                       { "SLOTS", Align::kRight },
                       { "CONNECTIONS", Align::kRight },
                       { "LIMIT", Align::kRight },
                       { "LONG SHARE", Align::kRight } },
                     rows);
}

std::string
RenderKindsTable(const ServicesDocument& aDocument)
{
  std::vector<Row> rows;
  for (const ServiceSpec& service : aDocument.services_) {
    for (const auto& [name, kind] : service.kinds_) {
      rows.push_back({ service.name_ + '/' + name,
                       std::string(ToString(kind.importance_)),
                       kind.idempotent_ ? "repeatable" : "once",
                       std::to_string(kind.extraAttempts_),
                       FormatDuration(kind.deadline_),
                       kind.longRunning_ ? "yes" : "no" });
    }
  }
  return RenderTable({ { "KIND" },
                       { "IMPORTANCE" },
                       { "REPEAT" },
                       { "ATTEMPTS", Align::kRight },
                       { "DEADLINE", Align::kRight },
                       { "LONG" } },
                     rows);
}

} // namespace

std::string
FormatAdmissionLevel(AdmissionLevel aLevel)
{
  const std::uint16_t rank = aLevel.admitBelow_;
  if (rank >= kHighestAdmissionLevel.admitBelow_) {
    return "all";
  }
  if (rank <= kLowestAdmissionLevel.admitBelow_) {
    return "critical only";
  }
  const auto partlyAdmitted = static_cast<Importance>(rank / kRootRequestBuckets);
  const auto lowestAdmitted = static_cast<Importance>(rank / kRootRequestBuckets - 1);
  const std::string admittedText = std::string(ToString(lowestAdmitted)) + " and above";
  if (rank % kRootRequestBuckets == 0) {
    return admittedText;
  }
  return admittedText + ", " + std::to_string(rank % kRootRequestBuckets) + " of " +
         std::to_string(kRootRequestBuckets) + " buckets of " +
         std::string(ToString(partlyAdmitted));
}

std::string
Render(const CommandReply& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::string text =
    std::string(ToString(aDocument.outcome_)) + ": version " + std::to_string(aDocument.version_);
  const bool isInLog = aDocument.outcome_ == ReplyOutcome::kAccepted ||
                       aDocument.outcome_ == ReplyOutcome::kConflict ||
                       aDocument.outcome_ == ReplyOutcome::kRejected;
  if (isInLog) {
    text += ", offset " + std::to_string(aDocument.offset_);
  }
  return text + (aDocument.detail_.empty() ? "" : "; " + Printable(aDocument.detail_)) + '\n';
}

std::string
Render(const ServicesDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  return "version " + std::to_string(aDocument.version_) + '\n' + RenderServicesTable(aDocument) +
         '\n' + RenderKindsTable(aDocument);
}

std::string
Render(const MembersDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::vector<Row> rows;
  for (const MemberView& member : aDocument.members_) {
    rows.push_back({ ToHex(member.id_.value_),
                     member.address_,
                     member.service_,
                     member.domain_,
                     member.region_,
                     std::string(ToString(member.state_)),
                     std::to_string(member.configVersion_) });
  }
  return RenderTable({ { "NODE" },
                       { "ADDRESS" },
                       { "SERVICE" },
                       { "DOMAIN" },
                       { "REGION" },
                       { "STATE" },
                       { "CONFIG", Align::kRight } },
                     rows);
}

std::string
Render(const ConfigDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::string text = RenderTable({ { "VERSION", Align::kRight },
                                   { "NEXT OFFSET", Align::kRight },
                                   { "COMPLETE" },
                                   { "DRAINED", Align::kRight } },
                                 { { std::to_string(aDocument.version_),
                                     std::to_string(aDocument.nextOffset_),
                                     aDocument.complete_ ? "yes" : "no",
                                     std::to_string(aDocument.drained_.size()) } });
  for (const std::string& address : aDocument.drained_) {
    text += "drained: " + Printable(address) + '\n';
  }
  return text;
}

std::string
Render(const ShedDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::vector<Row> shed;
  std::vector<Row> otherRefusals;
  for (const ShedCount& entry : aDocument.counts_) {
    (IsShed(entry.reason_) ? shed : otherRefusals)
      .push_back({ entry.service_ + '/' + entry.kind_,
                   std::string(ToString(entry.importance_)),
                   Printable(entry.side_),
                   std::string(ToString(entry.reason_)),
                   std::to_string(entry.count_) });
  }
  const auto table = [](const char* aCount, const std::vector<Row>& aRows) {
    return RenderTable(
      { { "KIND" }, { "IMPORTANCE" }, { "SIDE" }, { "REASON" }, { aCount, Align::kRight } }, aRows);
  };
  std::string text = "admits " + FormatAdmissionLevel(aDocument.level_) + "; limit " +
                     std::to_string(aDocument.limit_) + '\n' + table("SHED", shed);
  return otherRefusals.empty() ? text : text + '\n' + table("REFUSED", otherRefusals);
}

std::string
Render(const LoadDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  return RenderTable({ { "LIMIT", Align::kRight },
                       { "RUNNING", Align::kRight },
                       { "QUEUED", Align::kRight },
                       { "CONNECTIONS", Align::kRight },
                       { "TICKETS", Align::kRight },
                       { "ADMITS" } },
                     { { std::to_string(aDocument.limit_),
                         std::to_string(aDocument.running_),
                         std::to_string(aDocument.queued_),
                         std::to_string(aDocument.connections_),
                         std::to_string(aDocument.tickets_),
                         FormatAdmissionLevel(aDocument.level_) } });
}

std::string
Render(const AuditDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::vector<Row> rows;
  for (const AuditLine& line : aDocument.entries_) {
    rows.push_back({ FormatWallTime(line.wallTimeMs_),
                     OrDash(line.operator_),
                     std::string(ToString(line.outcome_)),
                     std::to_string(line.version_),
                     std::to_string(line.offset_),
                     line.text_,
                     OrDash(line.detail_) });
  }
  return RenderTable({ { "TIME (UTC)" },
                       { "OPERATOR" },
                       { "OUTCOME" },
                       { "VERSION", Align::kRight },
                       { "OFFSET", Align::kRight },
                       { "COMMAND" },
                       { "DETAIL" } },
                     rows);
}

std::string
Render(const WhyDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  if (aDocument.decisions_.empty()) {
    return "root request " + Printable(aDocument.rootRequestId_) +
           ": this node has recorded no refused or failed call; ask the other nodes that handled "
           "it\n";
  }
  std::vector<Row> rows;
  for (const RootRequestDecision& decision : aDocument.decisions_) {
    rows.push_back({ FormatOffset(decision.offsetUs_),
                     decision.service_ + '/' + decision.kind_,
                     std::string(ToString(decision.verdict_)),
                     std::string(ToString(decision.reason_)),
                     decision.node_ });
  }
  return RenderTable(
    { { "TIME", Align::kRight }, { "KIND" }, { "VERDICT" }, { "REASON" }, { "NODE" } }, rows);
}

std::string
Render(const InForceDocument& aDocument, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::kJson) {
    return ToJsonLine(aDocument);
  }
  std::vector<Row> rows;
  for (const DomainInForce& domain : aDocument.domains_) {
    const std::string members = std::to_string(domain.members_);
    rows.push_back({ domain.domain_,
                     domain.reachable_ ? members : "-",
                     domain.reachable_ ? std::to_string(domain.inForce_) : "-",
                     domain.reachable_ ? "reachable" : "unreachable" });
  }
  return "version " + std::to_string(aDocument.version_) + '\n' +
         RenderTable({ { "DOMAIN" },
                       { "MEMBERS", Align::kRight },
                       { "IN EFFECT", Align::kRight },
                       { "STATE" } },
                     rows);
}

} // namespace fulmarway
