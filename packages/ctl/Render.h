/** \file
 * Renders documents of the admin interface as tables for operators or as JSON lines for programs.
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
Render(const SpillDocument& aDocument, OutputFormat aFormat);
std::string
Render(const LoadDocument& aDocument, OutputFormat aFormat);
std::string
Render(const AuditDocument& aDocument, OutputFormat aFormat);
std::string
Render(const WhyDocument& aDocument, OutputFormat aFormat);
/** Unreachable domains are listed without their counts. */
std::string
Render(const InForceDocument& aDocument, OutputFormat aFormat);

/** Describes which requests an admission level admits, for example "high and above". */
std::string
FormatAdmissionLevel(AdmissionLevel aLevel);

/** Returns the help on the statement whose first word is aTopic, or the overview if aTopic is empty
 * or unknown. */
std::string_view
HelpText(std::string_view aTopic);

} // namespace fulmarway
