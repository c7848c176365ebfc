#include "node/TcpChannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>

namespace fulmarway {

namespace {

constexpr std::size_t kReadBufferBytes = 64U << 10;
/** Limits the reads from one connection at a time, so that it does not starve the others. */
constexpr int kMaxReadsPerPoll = 8;
/** Smaller messages are sent together, with one system call. */
constexpr std::size_t kMaxJoinedBytes = 64U << 10;

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
  if (aBytes.empty()) {
    return;
  }
  pendingBytes_ += aBytes.size();
  if (!output_.empty() && output_.back().size() + aBytes.size() <= kMaxJoinedBytes) {
    output_.back() += aBytes;
  } else {
    output_.push_back(std::move(aBytes));
  }
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
      const std::string& front = output_.front();
      const int sent =
        socket_.sendBytes(front.data() + frontSent_, static_cast<int>(front.size() - frontSent_));
      if (sent <= 0) {
        return ChannelStatus::kOpen;
      }
      frontSent_ += static_cast<std::size_t>(sent);
      pendingBytes_ -= static_cast<std::size_t>(sent);
      bytesWritten_ += static_cast<std::uint64_t>(sent);
      if (frontSent_ == front.size()) {
        output_.pop_front();
        frontSent_ = 0;
      }
    }
    return ChannelStatus::kOpen;
  } catch (const Poco::Exception& error) {
    // POCO also throws when the socket buffer is full; the rest is sent once it is writable.
    return error.code() == EAGAIN ? ChannelStatus::kOpen : ChannelStatus::kClosed;
  }
}

ChannelStatus
TcpChannel::Read(std::string& aInput, std::size_t aMaxBytes)
{
  static thread_local std::array<char, kReadBufferBytes> buffer;
  try {
    std::size_t left = aMaxBytes;
    for (int turn = 0; turn < kMaxReadsPerPoll && left > 0; ++turn) {
      const std::size_t wanted = std::min(left, buffer.size());
      const int received = socket_.receiveBytes(buffer.data(), static_cast<int>(wanted));
      if (received == 0) {
        closedCleanly_ = true;
        return ChannelStatus::kClosed;
      }
      if (received < 0) {
        return ChannelStatus::kOpen;
      }
      aInput.append(buffer.data(), static_cast<std::size_t>(received));
      if (static_cast<std::size_t>(received) < wanted) {
        return ChannelStatus::kOpen;
      }
      left -= wanted;
    }
    return ChannelStatus::kOpen;
  } catch (const Poco::TimeoutException&) {
    return ChannelStatus::kOpen;
  } catch (const Poco::Exception&) {
    return ChannelStatus::kClosed;
  }
}

bool
TcpChannel::HasPeerClosed() const
{
  // POCO doesn't report POLLRDHUP.
  pollfd entry{ socket_.impl()->sockfd(), POLLRDHUP, 0 };
  return ::poll(&entry, 1, 0) > 0;
}

void
TcpChannel::ShutdownSend()
{
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    // The other side has already reset the connection, which the next Read() reports.
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
