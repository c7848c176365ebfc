#include "model/Address.h"

#include "model/Number.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <string>

namespace fulmarway {

namespace {

constexpr std::uint32_t kMaxPort = 65535;
/** "[", the longest IPv6 address, "]:65535". */
constexpr std::size_t kMaxAddressBytes = INET6_ADDRSTRLEN + 8;

bool
IsCanonicalIp(int aFamily, const std::string& aText)
{
  unsigned char bytes[sizeof(in6_addr)];
  char text[INET6_ADDRSTRLEN];
  return inet_pton(aFamily, aText.c_str(), bytes) == 1 &&
         inet_ntop(aFamily, bytes, text, sizeof text) != nullptr && aText == text;
}

bool
IsPort(std::string_view aText)
{
  const auto port = ParseNumber(aText);
  return port && aText.front() != '0' && *port <= kMaxPort;
}

} // namespace

bool
IsNumericAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (aText.size() > kMaxAddressBytes || colon == std::string_view::npos ||
      !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  const std::string host(aText.substr(0, colon));
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? IsCanonicalIp(AF_INET6, host.substr(1, host.size() - 2))
                   : IsCanonicalIp(AF_INET, host);
}

bool
IsName(std::string_view aText)
{
  const auto allowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') || aChar == '-';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

} // namespace fulmarway
