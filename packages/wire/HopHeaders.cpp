#include "wire/HopHeaders.h"

#include <Poco/String.h>
#include <algorithm>
#include <array>

namespace fulmarway {

namespace {

/** Expect is one of them because a node has read the whole body before it forwards a request. */
constexpr std::array kHopHeaders = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Host",
  "Content-Length",
  "Expect",
  "Proxy-Authenticate",
};

} // namespace

bool
IsHopHeader(const std::string& aName)
{
  return std::any_of(kHopHeaders.begin(), kHopHeaders.end(), [&](const char* aHop) {
    return Poco::icompare(aName, aHop) == 0;
  });
}

} // namespace fulmarway
