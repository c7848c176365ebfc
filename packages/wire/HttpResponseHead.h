/** \file
 * Head of an HTTP answer. The status is a number: Poco::Net::HTTPResponse::HTTPStatus ends at 511,
 * so that a backend server's 512 to 599 can't be held in it without undefined behaviour.
 */
#pragma once

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPResponse.h>
#include <string>

namespace fulmarway {

class HttpResponseHead : public Poco::Net::HTTPMessage
{
public:
  HttpResponseHead() = default;

  /** Head of a response of HTTP/1.1. */
  explicit HttpResponseHead(unsigned aStatus);

  unsigned Status() const { return status_; }
  const std::string& Reason() const { return reason_; }

  /** The reason is the usual one of aStatus. */
  void SetStatus(unsigned aStatus);
  void SetStatus(unsigned aStatus, std::string aReason);

private:
  unsigned status_ = Poco::Net::HTTPResponse::HTTP_OK;
  std::string reason_ = Poco::Net::HTTPResponse::HTTP_REASON_OK;
};

/** "???" for statuses without a usual reason. */
std::string
ReasonOfStatus(unsigned aStatus);

} // namespace fulmarway
