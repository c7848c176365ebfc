/** \file
 * Parsing of command-line values and JSON escaping, shared by the stand-ins.
 */
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway::standins {

/** Addresses of the backend servers by service name. */
using ServiceAddresses = std::map<std::string, std::vector<Poco::Net::SocketAddress>>;

/** Omits empty parts. */
std::vector<std::string>
Split(std::string_view aText, char aSeparator);

/** Throws std::invalid_argument, whose message quotes aText, unless it is a non-negative number. */
double
ParseNumber(std::string_view aText);

/** Parses "IP:PORT,IP:PORT". Throws Poco::Exception for a malformed address. */
std::vector<Poco::Net::SocketAddress>
ParseAddresses(std::string_view aText);

/** Parses elements of the form "SERVICE=IP:PORT,IP:PORT". */
ServiceAddresses
ParseServiceAddresses(const std::vector<std::string>& aTexts);

/** Splits "KEY=VALUE"; VALUE is empty when there is no "=". */
std::pair<std::string, std::string>
SplitKeyValue(std::string_view aText);

std::string
EscapeJson(std::string_view aText);

} // namespace fulmarway::standins
