/** \file
 * Guards against accepting a truncated reply as complete, and against reporting a request as not
 * sent although a node may have received it. Uses loopback connections; does not depend on timing.
 */
#include "ctl/HttpTransport.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <thread>

using namespace fulmarway;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

/** Accepts one connection, reads the request head, sends aReply and ends the stream. */
class OneReplyServer
{
public:
  explicit OneReplyServer(std::string aReply)
    : socket_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , thread_([this, reply = std::move(aReply)] { Serve(reply); })
  {
  }

  ~OneReplyServer() { thread_.join(); }

  std::string Address() const { return socket_.address().toString(); }

private:
  void Serve(const std::string& aReply)
  {
    Poco::Net::StreamSocket connection = socket_.acceptConnection();
    std::string request;
    char chunk[1024];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const int count = connection.receiveBytes(chunk, sizeof chunk);
      if (count <= 0) {
        return;
      }
      request.append(chunk, static_cast<std::size_t>(count));
    }
    if (!aReply.empty()) {
      connection.sendBytes(aReply.data(), static_cast<int>(aReply.size()));
    }
    connection.shutdownSend();
  }

  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

} // namespace

Test(http_transport, answers)
{
  struct Case
  {
    const char* reply_;
    /** 0 if no complete reply arrives. */
    int status_;
    const char* body_;
  };
  const Case cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 200, "{}" },
    { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404, "" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200, "{}" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{}",
      200,
      "{}" },
    { "HTTP/1.1 599\r\nContent-Length: 2\r\n\r\n{}", 599, "{}" },
    { "HTTP/1.1 103 Early Hints\r\n\r\n", 0, "" },
    { "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 600\r\nContent-Length: 2\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", 0, "" },
    { "HTTP/1.1 200 OK\r\nContent-Le", 0, "" },
    { "", 0, "" },
    { "nonsense", 0, "" },
  };
  for (const Case& test : cases) {
    OneReplyServer server(test.reply_);
    const auto reply = SendHttp(server.Address(), { "GET", "/", {} }, kTimeout);
    cr_assert_eq(reply.has_value(), test.status_ != 0, "%s", test.reply_);
    if (reply) {
      cr_assert_eq(reply->status_, test.status_, "%s", test.reply_);
      cr_assert_eq(reply->body_, test.body_, "%s", test.reply_);
    } else {
      cr_assert_eq(reply.error().code_, TransportErrorCode::kNoReply, "%s", test.reply_);
    }
  }
}

Test(http_transport, nothing_is_sent_without_a_connection)
{
  Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1:0"));
  const std::string closed = unused.address().toString();
  unused.close();
  for (const std::string& address : { closed, std::string("localhost:80"), std::string() }) {
    const auto reply = SendHttp(address, { "GET", "/", {} }, kTimeout);
    cr_assert_not(reply.has_value());
    cr_assert_eq(reply.error().code_, TransportErrorCode::kNotConnected, "%s", address.c_str());
  }
}
