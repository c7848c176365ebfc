/** \file
 * A non-blocking TCP connection with an output buffer.
 */
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cstdint>
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

  /** Appends received bytes to aInput. */
  ChannelStatus Read(std::string& aInput);

  /** Bytes written to the socket since it was opened. */
  std::uint64_t BytesWritten() const { return bytesWritten_; }

  /** Bytes in the output buffer. */
  std::size_t PendingBytes() const { return output_.size() - outputStart_; }

  /** Memory of the output buffer, including bytes that were sent and not yet removed. */
  std::size_t HeldBytes() const { return output_.capacity(); }

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
  std::string output_;
  std::size_t outputStart_ = 0;
  std::uint64_t bytesWritten_ = 0;
};

} // namespace fulmarway
