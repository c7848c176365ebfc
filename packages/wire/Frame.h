/** \file
 * Encoding of messages between nodes: TCP frames and UDP datagrams, each authenticated under the
 * cluster key. The MAC proves that the sender knows the key; it does not stop a replay, which the
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

/** Largest payload of a TCP frame, bytes: a request body plus its headers. */
inline constexpr std::size_t kMaxFrameBytes = kMaxBodyBytes + (64U << 10);

/** Largest datagram, bytes; below the loopback and Ethernet path limits after fragmentation. */
inline constexpr std::size_t kMaxDatagramBytes = 8U << 10;

/** Length (4 bytes), MAC (16 bytes), payload. */
std::string
EncodeFrame(const ClusterKey& aKey, const PeerMessage& aMessage);

/** Bytes received on one connection that do not form a whole frame yet. */
struct FrameBuffer
{
  std::string bytes_;
};

/** Appends aInput and removes all whole frames. An error means that the connection cannot be used
 * any further. */
tl::expected<std::vector<PeerMessage>, UserError>
DecodeFrames(const ClusterKey& aKey, FrameBuffer& aBuffer, std::string_view aInput);

std::string
EncodeDatagram(const ClusterKey& aKey, const GossipMessage& aMessage);

tl::expected<GossipMessage, UserError>
DecodeDatagram(const ClusterKey& aKey, std::string_view aInput);

/** A record of the log service with its MAC. */
std::string
EncodeLogRecord(const ClusterKey& aKey, const LogRecord& aRecord);

tl::expected<LogRecord, UserError>
DecodeLogRecord(const ClusterKey& aKey, std::string_view aInput);

} // namespace fulmarway
