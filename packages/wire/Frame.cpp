#include "wire/Frame.h"

#include "wire/BoundedArchive.h"
#include "wire/Serialize.h"

#include <cereal/archives/binary.hpp>
#include <cstring>
#include <sstream>

namespace fulmarway {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMacBytes = sizeof(Bits128);

template<typename Message>
tl::expected<Message, UserError>
Deserialize(std::string_view aBytes)
{
  try {
    BoundedInputArchive archive(aBytes);
    Message message;
    archive(message);
    if (archive.RemainingBytes() != 0) {
      return tl::unexpected(UserError{ "message", "has trailing bytes" });
    }
    return message;
  } catch (const std::exception& error) {
    return tl::unexpected(UserError{ "message", error.what() });
  }
}

/** Verifies the MAC in front of the payload and returns the payload. */
tl::expected<std::string_view, UserError>
VerifyMac(const ClusterKey& aKey, std::string_view aInput)
{
  if (aInput.size() < kMacBytes) {
    return tl::unexpected(UserError{ "message", "is shorter than a MAC" });
  }
  Bits128 mac;
  std::memcpy(&mac, aInput.data(), kMacBytes);
  aInput.remove_prefix(kMacBytes);
  if (!MacEquals(mac, ComputeMac(aKey, aInput))) {
    return tl::unexpected(UserError{ "message", "MAC does not match the cluster key" });
  }
  return aInput;
}

/** Returns aPrefixBytes for the caller to fill, the MAC and the payload. One buffer for all of it,
 * as the payload may be a long body. */
template<typename Message>
std::string
SerializeWithMac(const ClusterKey& aKey, const Message& aMessage, std::size_t aPrefixBytes = 0)
{
  const std::size_t payloadStart = aPrefixBytes + kMacBytes;
  std::ostringstream stream(std::string(payloadStart, '\0'), std::ios::out | std::ios::ate);
  cereal::BinaryOutputArchive archive(stream);
  archive(aMessage);
  std::string bytes = std::move(stream).str();
  const Bits128 mac = ComputeMac(aKey, std::string_view(bytes).substr(payloadStart));
  std::memcpy(bytes.data() + aPrefixBytes, &mac, kMacBytes);
  return bytes;
}

template<typename Message>
tl::expected<Message, UserError>
VerifyAndDeserialize(const ClusterKey& aKey, std::string_view aInput)
{
  const auto payload = VerifyMac(aKey, aInput);
  if (!payload) {
    return tl::unexpected(payload.error());
  }
  return Deserialize<Message>(*payload);
}

} // namespace

std::string
EncodeFrame(const ClusterKey& aKey, const PeerMessage& aMessage)
{
  std::string frame = SerializeWithMac(aKey, aMessage, kLengthBytes);
  const auto length = static_cast<std::uint32_t>(frame.size() - kLengthBytes);
  std::memcpy(frame.data(), &length, kLengthBytes);
  return frame;
}

tl::expected<std::vector<PeerMessage>, UserError>
DecodeFrames(const ClusterKey& aKey,
             FrameBuffer& aBuffer,
             std::string_view aInput,
             std::size_t aMaxFirstBytes)
{
  aBuffer.bytes_.append(aInput);
  std::vector<PeerMessage> messages;
  std::string_view rest = aBuffer.bytes_;
  while (rest.size() >= kLengthBytes) {
    std::uint32_t length = 0;
    std::memcpy(&length, rest.data(), kLengthBytes);
    const std::size_t limit = messages.empty() ? aMaxFirstBytes : kMaxFrameBytes;
    if (length > limit + kMacBytes) {
      return tl::unexpected(UserError{ "frame", "length is above the limit" });
    }
    if (rest.size() < kLengthBytes + length) {
      break;
    }
    auto message = VerifyAndDeserialize<PeerMessage>(aKey, rest.substr(kLengthBytes, length));
    if (!message) {
      return tl::unexpected(message.error());
    }
    messages.push_back(std::move(*message));
    rest.remove_prefix(kLengthBytes + length);
  }
  aBuffer.bytes_.erase(0, aBuffer.bytes_.size() - rest.size());
  return messages;
}

std::string
EncodeDatagram(const ClusterKey& aKey, const GossipMessage& aMessage)
{
  return SerializeWithMac(aKey, aMessage);
}

tl::expected<GossipMessage, UserError>
DecodeDatagram(const ClusterKey& aKey, std::string_view aInput)
{
  return VerifyAndDeserialize<GossipMessage>(aKey, aInput);
}

std::string
EncodeLogRecord(const ClusterKey& aKey, const LogRecord& aRecord)
{
  return SerializeWithMac(aKey, aRecord);
}

tl::expected<LogRecord, UserError>
DecodeLogRecord(const ClusterKey& aKey, std::string_view aInput)
{
  return VerifyAndDeserialize<LogRecord>(aKey, aInput);
}

} // namespace fulmarway
