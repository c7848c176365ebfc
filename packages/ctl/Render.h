/** \file
 * Documents of the admin interface as tables for operators or as JSON lines for programs.
 */
#pragma once

#include "model/ControlDocuments.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarway {

enum class OutputFormat : std::uint8_t
{
  kTable,
  /** One document on each line. */
  kJson,
};

std::string
Render(const CommandReply& aDocument, OutputFormat aFormat);
std::string
Render(const ServicesDocument& aDocument, OutputFormat aFormat);
std::string
Render(const MembersDocument& aDocument, OutputFormat aFormat);
std::string
Render(const ConfigDocument& aDocument, OutputFormat aFormat);
std::string
Render(const ShedDocument& aDocument, OutputFormat aFormat);
std::string
Render(const LoadDocument& aDocument, OutputFormat aFormat);
std::string
Render(const AuditDocument& aDocument, OutputFormat aFormat);
std::string
Render(const WhyDocument& aDocument, OutputFormat aFormat);
/** Unreachable domains are named and not counted. */
std::string
Render(const InForceDocument& aDocument, OutputFormat aFormat);

/** Which requests an admission level lets in, for example "high and above". */
std::string
DescribeLevel(AdmissionLevel aLevel);

/** Help on a statement by its first word; the overview when aTopic is empty or unknown. */
std::string_view
HelpText(std::string_view aTopic);

} // namespace fulmarway
