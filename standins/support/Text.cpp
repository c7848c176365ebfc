#include "support/Text.h"

#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace fulmarway::standins {

std::vector<std::string>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(aSeparator), aText.size());
    if (end > 0) {
      parts.emplace_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

double
ParseNumber(std::string_view aText)
{
  double value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc{} || end != aText.data() + aText.size() || !(value >= 0)) {
    throw std::invalid_argument("must be a non-negative number: '" + std::string(aText) + "'");
  }
  return value;
}

std::vector<Poco::Net::SocketAddress>
ParseAddresses(std::string_view aText)
{
  std::vector<Poco::Net::SocketAddress> addresses;
  for (const std::string& part : Split(aText, ',')) {
    addresses.emplace_back(part);
  }
  return addresses;
}

ServiceAddresses
ParseServiceAddresses(const std::vector<std::string>& aTexts)
{
  ServiceAddresses services;
  for (const std::string& text : aTexts) {
    const auto [service, addresses] = SplitKeyValue(text);
    services[service] = ParseAddresses(addresses);
  }
  return services;
}

std::pair<std::string, std::string>
SplitKeyValue(std::string_view aText)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return { std::string(aText), {} };
  }
  return { std::string(aText.substr(0, equals)), std::string(aText.substr(equals + 1)) };
}

std::string
EscapeJson(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(c));
      escaped += code;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

} // namespace fulmarway::standins
