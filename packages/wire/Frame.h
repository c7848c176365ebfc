/** \file
 * Encoding of messages between nodes: TCP frames and UDP datagrams, each authenticated under the
 * cluster key. The MAC proves that the sender has the key. It does not prevent replay, which
 * tickets and sequence numbers make harmless.
 */
#pragma once

#include "model/Error.h"
#include "model/Mac.h"
#include "model/PeerMessage.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fulmarway {

/** Largest payload of a TCP frame, bytes: a request body plus its headers. A field of 4 bytes takes
 * 18 in a frame, and a head has at most 32 KB. */
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (256U << 10);

/** Largest datagram, bytes; within the limits of loopback and, with IP fragmentation, of Ethernet
 * paths. */
inline constexpr std::size_t kMaxDatagramBytes = 8U << 10;

/** Returns a TCP frame: length of the rest (4 bytes), MAC (16 bytes), payload. */
std::string
EncodeFrame(const ClusterKey& aKey, const PeerMessage& aMessage);

/** Bytes received on one connection that do not form a complete frame yet. */
struct FrameBuffer
{
  std::string bytes_;
};

/** Appends aInput to aBuffer, then removes and decodes all complete frames. The first of them is at
 * most aMaxFirstBytes long. After an error the connection must be closed. */
tl::expected<std::vector<PeerMessage>, UserError>
DecodeFrames(const ClusterKey& aKey,
             FrameBuffer& aBuffer,
             std::string_view aInput,
             std::size_t aMaxFirstBytes = kMaxFrameBytes);

std::string
EncodeDatagram(const ClusterKey& aKey, const GossipMessage& aMessage);

tl::expected<GossipMessage, UserError>
DecodeDatagram(const ClusterKey& aKey, std::string_view aInput);

/** Returns a record as it is appended to the log: MAC (16 bytes), payload. */
std::string
EncodeLogRecord(const ClusterKey& aKey, const LogRecord& aRecord);

tl::expected<LogRecord, UserError>
DecodeLogRecord(const ClusterKey& aKey, std::string_view aInput);

} // namespace fulmarway
