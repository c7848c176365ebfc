/** \file
 * Which statuses are answers. RFC 9110, section 15, defines 100 to 599; what lies outside is a
 * failure of the server.
 */
#pragma once

namespace fulmarway {

/** Whether an answer with this status ends its request. */
constexpr bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

/** Whether an answer with this status precedes the one that ends the request. 101 does not: it
 * accepts another protocol, which no process of the system asks for. */
constexpr bool
IsInterimStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 199 && aStatus != 101;
}

/** Whether an answer with this status ends with its head, whatever length that declares. */
constexpr bool
IsBodilessStatus(unsigned aStatus)
{
  return aStatus == 204 || aStatus == 304;
}

} // namespace fulmarway
