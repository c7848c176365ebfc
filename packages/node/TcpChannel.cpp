#include "node/TcpChannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <array>
#include <cerrno>

namespace fulmarway {

namespace {

constexpr std::size_t kReadBufferBytes = 64U << 10;
/** Limits the reads from one connection at a time, so that it does not starve the others. */
constexpr int kMaxReadsPerPoll = 8;

void
SetSocketOptions(Poco::Net::StreamSocket& aSocket)
{
  aSocket.setBlocking(false);
  aSocket.setNoDelay(true);
}

} // namespace

TcpChannel::TcpChannel(const Poco::Net::StreamSocket& aSocket)
  : socket_(aSocket)
{
  SetSocketOptions(socket_);
}

TcpChannel::TcpChannel(const Poco::Net::SocketAddress& aAddress)
  : connecting_(true)
{
  socket_.connectNB(aAddress);
  SetSocketOptions(socket_);
}

void
TcpChannel::Queue(std::string aBytes)
{
  if (outputStart_ == output_.size()) {
    output_ = std::move(aBytes);
    outputStart_ = 0;
    return;
  }
  output_ += aBytes;
}

ChannelStatus
TcpChannel::Flush()
{
  try {
    if (connecting_) {
      if (socket_.impl()->socketError() != 0) {
        return ChannelStatus::kClosed;
      }
      if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_WRITE)) {
        return ChannelStatus::kOpen;
      }
      connecting_ = false;
    }
    while (PendingBytes() > 0) {
      const int sent =
        socket_.sendBytes(output_.data() + outputStart_, static_cast<int>(PendingBytes()));
      if (sent <= 0) {
        return ChannelStatus::kOpen;
      }
      outputStart_ += static_cast<std::size_t>(sent);
      bytesWritten_ += static_cast<std::uint64_t>(sent);
    }
    output_.clear();
    // An idle connection must not keep the memory of its largest message.
    output_.shrink_to_fit();
    outputStart_ = 0;
    return ChannelStatus::kOpen;
  } catch (const Poco::Exception& error) {
    // POCO also throws when the socket buffer is full; the rest is sent once it is writable.
    return error.code() == EAGAIN ? ChannelStatus::kOpen : ChannelStatus::kClosed;
  }
}

ChannelStatus
TcpChannel::Read(std::string& aInput)
{
  static thread_local std::array<char, kReadBufferBytes> buffer;
  try {
    for (int turn = 0; turn < kMaxReadsPerPoll; ++turn) {
      const int received = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (received == 0) {
        closedCleanly_ = true;
        return ChannelStatus::kClosed;
      }
      if (received < 0) {
        return ChannelStatus::kOpen;
      }
      aInput.append(buffer.data(), static_cast<std::size_t>(received));
      if (static_cast<std::size_t>(received) < buffer.size()) {
        return ChannelStatus::kOpen;
      }
    }
    return ChannelStatus::kOpen;
  } catch (const Poco::TimeoutException&) {
    return ChannelStatus::kOpen;
  } catch (const Poco::Exception&) {
    return ChannelStatus::kClosed;
  }
}

void
TcpChannel::Close()
{
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // The socket is unusable either way.
  }
}

} // namespace fulmarway
