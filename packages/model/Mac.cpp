#include "model/Mac.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace fulmarway {

namespace {

/** Adapts SHA2Engine to the constants that HMACEngine expects. */
class Sha256 : public Poco::SHA2Engine
{
public:
  enum
  {
    BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming)
    DIGEST_SIZE = 32 // NOLINT(readability-identifier-naming)
  };

  Sha256()
    : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
  {
  }
};

std::uint64_t
ReadBigEndian(const Poco::DigestEngine::Digest& aDigest, std::size_t aOffset)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    value = (value << 8) | aDigest[aOffset + i];
  }
  return value;
}

} // namespace

Bits128
ComputeMac(const ClusterKey& aKey, std::string_view aMessage)
{
  Poco::HMACEngine<Sha256> engine(aKey.secret_);
  engine.update(aMessage.data(), aMessage.size());
  const Poco::DigestEngine::Digest& digest = engine.digest();
  return Bits128{ ReadBigEndian(digest, 0), ReadBigEndian(digest, 8) };
}

bool
MacEquals(const Bits128& aLeft, const Bits128& aRight)
{
  return ((aLeft.high_ ^ aRight.high_) | (aLeft.low_ ^ aRight.low_)) == 0;
}

} // namespace fulmarway
