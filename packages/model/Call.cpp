#include "model/Call.h"

#include "model/Ids.h"

namespace fulmarway {

std::uint64_t
RequestDigest(const Request& aRequest)
{
  std::uint64_t digest = StableHash(aRequest.service_);
  for (const std::string* part :
       { &aRequest.kind_, &aRequest.method_, &aRequest.target_, &aRequest.body_ }) {
    digest = StableHash(*part, digest);
  }
  return digest;
}

} // namespace fulmarway
