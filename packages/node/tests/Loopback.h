/** \file
 * The remote end of a connection, for tests. It reads without blocking: a test drives both ends
 * alternately, so no result depends on timing.
 */
#pragma once

#include "node/Poller.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <string>

namespace fulmarway {

/** Bounds the polls of a test, so that a missing event fails the test instead of hanging it. */
inline constexpr int kMaxPollIterations = 500;
inline constexpr Duration kPollTimeout = std::chrono::milliseconds(10);

class LoopbackPeer
{
public:
  explicit LoopbackPeer(const Poco::Net::SocketAddress& aAddress)
    : LoopbackPeer(Poco::Net::StreamSocket(aAddress))
  {
  }

  explicit LoopbackPeer(const Poco::Net::StreamSocket& aSocket)
    : socket_(aSocket)
  {
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
  }

  /** The text must fit into the socket buffer. */
  void Send(std::string_view aText)
  {
    socket_.sendBytes(aText.data(), static_cast<int>(aText.size()));
  }

  /** Sends as much as the buffers of the kernel take; returns the number of bytes. */
  std::size_t SendSome(std::string_view aText)
  {
    std::size_t sent = 0;
    try {
      while (sent < aText.size()) {
        const int count =
          socket_.sendBytes(aText.data() + sent, static_cast<int>(aText.size() - sent));
        if (count <= 0) {
          break;
        }
        sent += static_cast<std::size_t>(count);
      }
    } catch (const Poco::Exception&) {
      return sent;
    }
    return sent;
  }

  void Close() { socket_.close(); }

  /** Closes the connection with RST instead of FIN. */
  void Reset()
  {
    socket_.setLinger(true, 0);
    socket_.close();
  }

  /** Reads what has arrived. */
  void Read()
  {
    char buffer[65536];
    try {
      while (!closed_) {
        const int count = socket_.receiveBytes(buffer, sizeof buffer);
        if (count < 0) {
          return;
        }
        closed_ = count == 0;
        received_.append(buffer, static_cast<std::size_t>(count));
      }
    } catch (const Poco::TimeoutException&) {
      return;
    } catch (const Poco::Exception&) {
      closed_ = true;
    }
  }

  bool Has(std::string_view aText)
  {
    Read();
    return received_.find(aText) != std::string::npos;
  }

  bool IsClosed()
  {
    Read();
    return closed_;
  }

  std::string received_;

private:
  Poco::Net::StreamSocket socket_;
  bool closed_ = false;
};

} // namespace fulmarway
