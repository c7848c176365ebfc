#include "wire/Base64.h"

#include <Poco/Base64Decoder.h>
#include <iterator>
#include <sstream>

namespace fulmarway {

std::string
DecodeBase64(const std::string& aText)
{
  std::istringstream stream(aText);
  Poco::Base64Decoder decoder(stream);
  return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
}

} // namespace fulmarway
