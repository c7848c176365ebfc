/** \file
 * A non-blocking TCP connection with an output buffer.
 */
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <deque>
#include <string>

namespace fulmarway {

enum class ChannelStatus : std::uint8_t
{
  kOpen,
  /** The other side closed it, or it failed. */
  kClosed,
};

class TcpChannel
{
public:
  /** Wraps an accepted connection. */
  explicit TcpChannel(const Poco::Net::StreamSocket& aSocket);

  /** Starts to connect without blocking; a failure is reported by the first Flush() or Read(). */
  explicit TcpChannel(const Poco::Net::SocketAddress& aAddress);

  /** Appends bytes to the output buffer. */
  void Queue(std::string aBytes);

  /** Writes as much as the socket accepts without blocking. */
  ChannelStatus Flush();

  /** Appends received bytes to aInput, aMaxBytes at most. */
  ChannelStatus Read(std::string& aInput, std::size_t aMaxBytes = SIZE_MAX);

  /** Whether the other side has closed the connection or reset it, even if bytes that it sent
   * before are still unread. */
  bool HasPeerClosed() const;

  /** Tells the other side that nothing more is sent. */
  void ShutdownSend();

  /** Bytes written to the socket since it was opened. */
  std::uint64_t BytesWritten() const { return bytesWritten_; }

  /** Bytes in the output buffer. */
  std::size_t PendingBytes() const { return pendingBytes_; }

  /** Memory of the output buffer, including the sent part of the block that is being sent. */
  std::size_t HeldBytes() const { return pendingBytes_ + frontSent_; }

  /** Whether the other side closed the connection cleanly, after sending all of its bytes. */
  bool WasClosedCleanly() const { return closedCleanly_; }

  /** Whether the socket must be polled for writing. */
  bool WantsWrite() const { return connecting_ || PendingBytes() > 0; }

  const Poco::Net::StreamSocket& Socket() const { return socket_; }

  void Close();

private:
  Poco::Net::StreamSocket socket_;
  bool connecting_ = false;
  bool closedCleanly_ = false;
  /** Blocks to send. Each is freed once it was sent, also if others wait all the time. */
  std::deque<std::string> output_;
  /** Bytes of the first block that were sent. */
  std::size_t frontSent_ = 0;
  std::size_t pendingBytes_ = 0;
  std::uint64_t bytesWritten_ = 0;
};

} // namespace fulmarway
