/** \file
 * Guards against output that is lost, reordered or kept in memory after it was sent.
 */
#include "node/TcpChannel.h"
#include "Loopback.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>

using namespace fulmarway;

namespace {

constexpr std::size_t kMessageBytes = std::size_t{ 48 } << 10;

/** A channel whose output is read by hand. */
class Pair
{
public:
  Pair()
    : listener_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , reader_(listener_.address())
    , channel_(listener_.acceptConnection())
  {
  }

  /** Reads exactly aBytes. */
  std::string Read(std::size_t aBytes)
  {
    std::string bytes(aBytes, '\0');
    std::size_t read = 0;
    while (read < aBytes) {
      channel_.Flush();
      const int received =
        reader_.receiveBytes(bytes.data() + read, static_cast<int>(aBytes - read));
      cr_assert_gt(received, 0);
      read += static_cast<std::size_t>(received);
    }
    return bytes;
  }

  Poco::Net::ServerSocket listener_;
  Poco::Net::StreamSocket reader_;
  TcpChannel channel_;
};

} // namespace

/** Guards against a buffer that keeps all bytes ever sent while its output never becomes empty, as
 * on a link to a node that reads more slowly than others write. */
Test(tcp_channel, sent_bytes_are_not_held_while_others_wait)
{
  constexpr int kMessages = 1000;
  // Above what the buffers of the kernel take.
  constexpr std::size_t kBacklog = std::size_t{ 32 } << 20;
  Pair pair;
  pair.channel_.Queue(std::string(kBacklog, 'x'));
  for (int i = 0; i < kMessages; ++i) {
    pair.channel_.Queue(std::string(kMessageBytes, 'x'));
    pair.channel_.Flush();
    cr_assert_gt(pair.channel_.PendingBytes(), 0U);
    pair.Read(kMessageBytes);
  }
  cr_expect_leq(pair.channel_.HeldBytes(), kBacklog, "%zu bytes", pair.channel_.HeldBytes());
}

/** Guards against messages that are sent twice, out of order or not at all, whatever their size. */
Test(tcp_channel, messages_arrive_once_and_in_order)
{
  Pair pair;
  std::string expected;
  for (int i = 0; i < 400; ++i) {
    const std::size_t size =
      i % 7 == 0 ? kMessageBytes * 3 : static_cast<std::size_t>(i * 37 % 900);
    std::string message(size, static_cast<char>('a' + i % 26));
    expected += message;
    pair.channel_.Queue(std::move(message));
  }
  cr_expect_eq(pair.channel_.PendingBytes(), expected.size());
  cr_expect(pair.Read(expected.size()) == expected);
  cr_expect_eq(pair.channel_.PendingBytes(), 0U);
  cr_expect_eq(pair.channel_.BytesWritten(), expected.size());
}
