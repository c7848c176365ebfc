/** \file
 * JSON form of the documents of the admin interface. Unknown members are ignored, so that nodes and
 * clients of different versions interoperate; missing members and wrong types are errors.
 */
#pragma once

#include "model/ControlDocuments.h"
#include "model/Error.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace fulmarway {

/** Longer documents are rejected. The largest one, the list of 890 members, takes about 200 KB. */
inline constexpr std::size_t kMaxControlJsonBytes = 8U << 20;

std::string
ToJson(const CommandRequest& aDocument);
std::string
ToJson(const CommandReply& aDocument);
std::string
ToJson(const ServicesDocument& aDocument);
std::string
ToJson(const MembersDocument& aDocument);
std::string
ToJson(const ConfigDocument& aDocument);
std::string
ToJson(const ShedDocument& aDocument);
std::string
ToJson(const LoadDocument& aDocument);
std::string
ToJson(const SpillDocument& aDocument);
std::string
ToJson(const AuditDocument& aDocument);
std::string
ToJson(const WhyDocument& aDocument);
std::string
ToJson(const InForceDocument& aDocument);
std::string
ToJson(const ErrorDocument& aDocument);

/** The subject of an error is the path of the invalid member, for example `services[2].slots`. */
tl::expected<CommandRequest, UserError>
ParseCommandRequest(std::string_view aJson);
tl::expected<CommandReply, UserError>
ParseCommandReply(std::string_view aJson);
tl::expected<ServicesDocument, UserError>
ParseServicesDocument(std::string_view aJson);
tl::expected<MembersDocument, UserError>
ParseMembersDocument(std::string_view aJson);
tl::expected<ConfigDocument, UserError>
ParseConfigDocument(std::string_view aJson);
tl::expected<ShedDocument, UserError>
ParseShedDocument(std::string_view aJson);
tl::expected<LoadDocument, UserError>
ParseLoadDocument(std::string_view aJson);
tl::expected<SpillDocument, UserError>
ParseSpillDocument(std::string_view aJson);
tl::expected<AuditDocument, UserError>
ParseAuditDocument(std::string_view aJson);
tl::expected<WhyDocument, UserError>
ParseWhyDocument(std::string_view aJson);
tl::expected<InForceDocument, UserError>
ParseInForceDocument(std::string_view aJson);
tl::expected<ErrorDocument, UserError>
ParseErrorDocument(std::string_view aJson);

} // namespace fulmarway
