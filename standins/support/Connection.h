/** \file
 * A non-blocking TCP connection with buffers for both directions.
 */
#pragma once

#include "support/EventLoop.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <string>

namespace fulmarway::standins {

/** Appends received bytes to Input() and sends the bytes passed to Write() as the socket accepts
 * them. */
class Connection
{
public:
  /** Called after new input, and once with aClosed when the peer has closed the connection or it
   * has failed. The handler may destroy the connection. */
  using Handler = std::function<void(bool aClosed)>;

  Connection(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket, Handler aHandler);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Write(std::string_view aBytes);
  std::string& Input() { return input_; }
  /** True once the TCP connection was established, also after it has closed. */
  bool WasEstablished() const { return established_; }

private:
  void HandleEvents(std::uint32_t aEvents);
  /** Receive() and Flush() return false when the connection has closed or failed. */
  bool Receive();
  bool Flush();
  void Close();

  EventLoop& loop_;
  Poco::Net::StreamSocket socket_;
  int fd_;
  Handler handler_;
  std::string input_;
  std::string output_;
  bool established_ = false;
  bool closed_ = false;
  std::uint32_t events_ = 0;
};

} // namespace fulmarway::standins
