/** \file
 * Parsing of command-line values shared by the stand-ins.
 */
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarway::standins {

/** Service name to the addresses of its backend servers. */
using ServiceAddresses = std::map<std::string, std::vector<Poco::Net::SocketAddress>>;

/** Empty parts are left out. */
std::vector<std::string>
Split(std::string_view aText, char aSeparator);

/** Throws std::invalid_argument with aText when it is not a non-negative number. */
double
ParseNumber(std::string_view aText);

/** "IP:PORT,IP:PORT". Throws Poco::Exception for a malformed address. */
std::vector<Poco::Net::SocketAddress>
ParseAddresses(std::string_view aText);

/** "SERVICE=IP:PORT,IP:PORT" for each element. */
ServiceAddresses
ParseServiceAddresses(const std::vector<std::string>& aTexts);

/** Splits "KEY=VALUE"; VALUE is empty when there is no "=". */
std::pair<std::string, std::string>
SplitPair(std::string_view aText);

std::string
EscapeJson(std::string_view aText);

} // namespace fulmarway::standins
