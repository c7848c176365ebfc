#include "model/Call.h"

#include "model/Ids.h"

namespace fulmarway {

std::uint64_t
RequestDigest(const Request& aRequest)
{
  std::uint64_t digest = StableHash(aRequest.service_);
  for (const std::string_view part : { std::string_view(aRequest.kind_),
                                       std::string_view(aRequest.method_),
                                       std::string_view(aRequest.target_),
                                       std::string_view(aRequest.body_) }) {
    digest = StableHash(part, digest);
  }
  return digest;
}

} // namespace fulmarway
