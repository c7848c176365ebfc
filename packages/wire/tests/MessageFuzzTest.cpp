/** \file
 * Guards against messages from peers or the log that change in a round trip, crash the decoder, or
 * make it allocate far more than their size. Corrupted payloads get a valid MAC, so that they reach
 * the decoder.
 */
#include "AllocationMeter.h"
#include "AnyValue.h"
#include "wire/Frame.h"

#include <criterion/criterion.h>
#include <cstring>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

const ClusterKey kKey{ "0123456789abcdef" };
constexpr std::size_t kLengthBytes = 4;

/** Limit of allocated bytes per input byte. A decoded message may be larger than its encoding, for
 * example a vector of small elements while it grows. */
constexpr std::size_t kMaxHeapBytesPerInputByte = 16;
constexpr std::size_t kMaxFixedHeapBytes = 4096;

std::string
PrependMac(const std::string& aPayload)
{
  const Bits128 mac = ComputeMac(kKey, aPayload);
  return std::string(reinterpret_cast<const char*>(&mac), sizeof mac) + aPayload;
}

/** Prepends the length of a frame. */
std::string
PrependLength(const std::string& aEncoded)
{
  const auto length = static_cast<std::uint32_t>(aEncoded.size());
  return std::string(reinterpret_cast<const char*>(&length), sizeof length) + aEncoded;
}

// The three formats of messages with a MAC. Encoded messages are without the length of a frame.

struct FrameFormat
{
  using Message = PeerMessage;
  static constexpr std::size_t kAlternatives = std::variant_size_v<PeerMessage>;

  static Message Make(Random& aRandom, std::size_t aIndex)
  {
    return AnyAlternative<PeerMessage>(aRandom, aIndex);
  }
  static std::string Encode(const Message& aMessage)
  {
    return EncodeFrame(kKey, aMessage).substr(kLengthBytes);
  }
  static std::optional<Message> Decode(const std::string& aEncoded)
  {
    FrameBuffer buffer;
    auto messages = DecodeFrames(kKey, buffer, PrependLength(aEncoded));
    return messages && messages->size() == 1 ? std::optional(messages->front()) : std::nullopt;
  }
};

struct DatagramFormat
{
  using Message = GossipMessage;
  static constexpr std::size_t kAlternatives = std::variant_size_v<GossipBody>;

  static Message Make(Random& aRandom, std::size_t aIndex)
  {
    auto message = Any<GossipMessage>(aRandom);
    message.body_ = AnyAlternative<GossipBody>(aRandom, aIndex);
    return message;
  }
  static std::string Encode(const Message& aMessage) { return EncodeDatagram(kKey, aMessage); }
  static std::optional<Message> Decode(const std::string& aEncoded)
  {
    auto message = DecodeDatagram(kKey, aEncoded);
    return message ? std::optional(*message) : std::nullopt;
  }
};

struct RecordFormat
{
  using Message = LogRecord;
  static constexpr std::size_t kAlternatives = kEncodableRecordTypes;

  static Message Make(Random& aRandom, std::size_t aIndex)
  {
    return AnyAlternative<LogRecord>(aRandom, aIndex);
  }
  static std::string Encode(const Message& aMessage) { return EncodeLogRecord(kKey, aMessage); }
  static std::optional<Message> Decode(const std::string& aEncoded)
  {
    auto record = DecodeLogRecord(kKey, aEncoded);
    return record ? std::optional(*record) : std::nullopt;
  }
};

Random
AnyRandom()
{
  return Random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
}

/** Decodes within the memory limit. Accepted bytes must be the encoding of the decoded message: two
 * encodings of one message would have different digests and MACs. */
template<typename Format>
void
CheckDecode(const std::string& aEncoded)
{
  const AllocationMeter meter;
  const auto message = Format::Decode(aEncoded);
  const std::size_t peak = meter.PeakBytes();
  RC_ASSERT(peak <= kMaxHeapBytesPerInputByte * aEncoded.size() + kMaxFixedHeapBytes);
  // The inner parentheses are needed: RC_ASSERT evaluates both operands of an outermost ||.
  RC_ASSERT((!message || Format::Encode(*message) == aEncoded));
}

template<typename Format>
void
CheckFormat()
{
  constexpr std::size_t kAlternatives = Format::kAlternatives;
  cr_assert(rc::check("round trip of every alternative", [] {
    Random random = AnyRandom();
    for (std::size_t index = 0; index < kAlternatives; ++index) {
      const auto message = Format::Make(random, index);
      RC_ASSERT(Format::Decode(Format::Encode(message)) == std::optional(message));
    }
  }));
  cr_assert(rc::check("a changed or cut message is refused", [] {
    Random random = AnyRandom();
    const std::string encoded = Format::Encode(Format::Make(random, Below(random, kAlternatives)));
    std::string corrupted = encoded;
    corrupted[Below(random, encoded.size())] ^= static_cast<char>(1U << Below(random, 8));
    RC_ASSERT(!Format::Decode(corrupted));
    RC_ASSERT(!Format::Decode(encoded.substr(0, Below(random, encoded.size()))));
    CheckDecode<Format>(AnyBytes(random, 200));
  }));
  cr_assert(rc::check("damage under a valid MAC", [] {
    Random random = AnyRandom();
    for (std::size_t index = 0; index < kAlternatives; ++index) {
      std::string payload = Format::Encode(Format::Make(random, index)).substr(sizeof(Bits128));
      Corrupt(random, payload);
      CheckDecode<Format>(PrependMac(payload));
    }
    CheckDecode<Format>(PrependMac(AnyBytes(random, 200)));
  }));
}

} // namespace

Test(message_fuzz, frames)
{
  CheckFormat<FrameFormat>();
}

Test(message_fuzz, datagrams)
{
  CheckFormat<DatagramFormat>();
}

/** Guards against a release that can't read the departures which nodes of an earlier one have left
 * in the store: their records have no notice time. */
Test(message_fuzz, departure_of_an_earlier_release_is_read)
{
  GossipMessage gossip;
  gossip.updates_.emplace_back().departure_ = BackendDeparture{ "i-1", 7, 3, true };
  std::string earlier(193, '\0'); // As encoded by that release.
  for (const auto& [at, byte] : std::map<std::size_t, int>{ { 60, 1 },
                                                            { 144, 0x80 },
                                                            { 165, 3 },
                                                            { 173, 'i' },
                                                            { 174, '-' },
                                                            { 175, '1' },
                                                            { 176, 7 },
                                                            { 184, 3 },
                                                            { 192, 1 } }) {
    earlier[at] = static_cast<char>(byte);
  }
  cr_expect_eq(DatagramFormat::Encode(gossip).substr(sizeof(Bits128)), earlier);
  cr_expect(DatagramFormat::Decode(PrependMac(earlier)) == gossip);
}

Test(message_fuzz, log_records)
{
  CheckFormat<RecordFormat>();
}

// Guards against a declared count that allocates memory for elements that are not in the message.
Test(message_fuzz, declared_counts_take_no_memory)
{
  constexpr std::size_t kPayloadBytes = 1U << 20;
  GossipMessage gossip;
  gossip.body_ = RecordsReply{};
  std::string payload = EncodeDatagram(kKey, gossip).substr(sizeof(Bits128));
  const std::uint64_t count = kPayloadBytes;
  payload.replace(payload.size() - sizeof count,
                  sizeof count,
                  reinterpret_cast<const char*>(&count),
                  sizeof count);
  const std::string encoded = PrependMac(payload + std::string(kPayloadBytes, '\xff'));
  const AllocationMeter meter;
  cr_assert_not(DecodeDatagram(kKey, encoded).has_value());
  cr_assert_leq(meter.PeakBytes(), kPayloadBytes, "%zu bytes", meter.PeakBytes());
}

// Guards against a list of empty records, which takes many times its encoded size in memory.
Test(message_fuzz, unreadable_records_are_refused)
{
  cr_assert_not(RecordFormat::Decode(RecordFormat::Encode(UnreadableRecord{})));
  ConfigReply reply;
  reply.records_.resize(80000, OffsetRecord{ 1, UnreadableRecord{} });
  const std::string encoded = FrameFormat::Encode(reply);
  const AllocationMeter meter;
  cr_assert_not(FrameFormat::Decode(encoded));
  cr_assert_leq(meter.PeakBytes(), 2 * encoded.size() + kMaxFixedHeapBytes);
}

Test(message_fuzz, frames_do_not_depend_on_how_the_stream_is_cut)
{
  cr_assert(rc::check("whole and in parts", [] {
    Random random = AnyRandom();
    std::string stream;
    std::vector<PeerMessage> sent;
    for (std::size_t count = Below(random, 5); count > 0; --count) {
      sent.push_back(Any<PeerMessage>(random));
      stream += EncodeFrame(kKey, sent.back());
    }
    FrameBuffer buffer;
    std::vector<PeerMessage> received;
    for (std::string_view rest = stream; !rest.empty();) {
      const std::size_t size = std::min(1 + Below(random, 300), rest.size());
      const auto messages = DecodeFrames(kKey, buffer, rest.substr(0, size));
      RC_ASSERT(messages.has_value());
      received.insert(received.end(), messages->begin(), messages->end());
      rest.remove_prefix(size);
    }
    RC_ASSERT(received == sent);
    RC_ASSERT(buffer.bytes_.empty());
  }));
}

Test(message_fuzz, length_above_the_limit_is_refused_before_the_payload)
{
  const std::uint32_t length = kMaxFrameBytes + sizeof(Bits128) + 1;
  FrameBuffer buffer;
  cr_assert_not(
    DecodeFrames(kKey, buffer, { reinterpret_cast<const char*>(&length), sizeof length }));
}
