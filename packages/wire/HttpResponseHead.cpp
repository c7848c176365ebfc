#include "wire/HttpResponseHead.h"

#include <utility>

namespace fulmarway {

using Poco::Net::HTTPResponse;

HttpResponseHead::HttpResponseHead(unsigned aStatus)
  : HTTPMessage(HTTP_1_1)
{
  SetStatus(aStatus);
}

void
HttpResponseHead::SetStatus(unsigned aStatus)
{
  SetStatus(aStatus, ReasonOfStatus(aStatus));
}

void
HttpResponseHead::SetStatus(unsigned aStatus, std::string aReason)
{
  status_ = aStatus;
  reason_ = std::move(aReason);
}

std::string
ReasonOfStatus(unsigned aStatus)
{
  constexpr unsigned kLastKnown = HTTPResponse::HTTP_NETWORK_AUTHENTICATION_REQUIRED;
  return aStatus <= kLastKnown
           ? HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(aStatus))
           : HTTPResponse::HTTP_REASON_UNKNOWN;
}

} // namespace fulmarway
