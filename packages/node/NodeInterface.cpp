#include "node/NodeInterface.h"

namespace fulmarway {

namespace {

std::optional<Answer>
MakeAnswer(HttpResponseMessage aMessage)
{
  Answer answer;
  answer.status_ = static_cast<std::uint16_t>(aMessage.head_.Status());
  if (const std::string& type = aMessage.head_.getContentType();
      type != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE) {
    answer.contentType_ = type;
  }
  answer.body_ = std::move(aMessage.body_);
  return answer;
}

std::optional<ExpectedEcho>
ExpectNoEcho(const BackendRequest&)
{
  return std::nullopt;
}

} // namespace

NodeInterface
MakeOwnInterface()
{
  return { { ParseCallerRequest,
             FormatCallerReply,
             FormatInvalidRequest,
             FormatBackendRequest,
             ExpectNoEcho,
             IsRefusedByBackend,
             MakeAnswer,
             ParseBackendLoad,
             ParseBackendSignals },
           std::nullopt,
           std::nullopt };
}

} // namespace fulmarway
