/** \file
 * Guards against requests that are processed before they are complete, replies on the wrong
 * connection or out of order, and clients that occupy memory or connections without limit.
 */
#include "node/HttpServer.h"
#include "Loopback.h"

#include <criterion/criterion.h>
#include <random>

using namespace fulmarway;
using namespace std::chrono_literals;

using enum HttpServer::ReleaseScope;

namespace {

constexpr std::size_t kMaxBody = 1000;
const std::string kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kOnce = "POST /once HTTP/1.1\r\nContent-Length: 2\r\n\r\nb";

class Server
{
public:
  explicit Server(std::size_t aMaxConnections = 10,
                  std::size_t aMaxBody = kMaxBody,
                  bool aAsksBeforeBody = false,
                  std::function<bool(const Poco::Net::HTTPRequest&)> aIsRepeatable = {})
    : server_({ Poco::Net::SocketAddress("127.0.0.1:0"),
                SocketRole::kCallerListener,
                SocketRole::kCallerConnection,
                aMaxConnections,
                aMaxBody,
                aAsksBeforeBody,
                std::move(aIsRepeatable) },
              poller_)
    , address_(server_.Address())
  {
  }

  void PollOnce(Duration aWait = Duration(0))
  {
    for (const ReadySocket& ready : poller_.Poll(aWait)) {
      if (ready.key_.role_ == SocketRole::kCallerListener) {
        server_.Accept(now_);
      } else {
        Record(server_.HandleReady(ready, now_));
      }
    }
    for (std::size_t left = server_.ConnectionsWithInputAhead(); left > 0; --left) {
      Record(server_.ReadRequestSentAhead(now_));
    }
  }

  /** Whether the condition becomes true. */
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    for (int iteration = 0; iteration < kMaxPollIterations; ++iteration) {
      if (aCondition()) {
        return true;
      }
      PollOnce(kPollTimeout);
    }
    return false;
  }

  bool RunUntilRequests(std::size_t aCount)
  {
    return RunUntil([&] { return requests_.size() >= aCount; });
  }

  bool RunUntilConnections(std::size_t aCount)
  {
    return RunUntil([&] { return server_.ConnectionCount() == aCount; });
  }

  /** Processes all pending input, to test that nothing else happens. */
  void Settle()
  {
    for (int iteration = 0; iteration < 20; ++iteration) {
      PollOnce();
    }
  }

  bool HasReadySocket() { return !poller_.Poll(Duration(0)).empty(); }

  void Reply(std::size_t aRequest, const std::string& aBody)
  {
    HttpResponseHead head(Poco::Net::HTTPResponse::HTTP_OK);
    Record(server_.Reply(requests_.at(aRequest).exchange_, head, aBody, now_));
  }

  bool Release(HttpServer::ReleaseScope aScope)
  {
    HttpServerEvents events;
    const bool isReleased = server_.ReleaseMemory(now_, aScope, events);
    Record(std::move(events));
    return isReleased;
  }

  void Record(HttpServerEvents aEvents)
  {
    for (ArrivedRequest& request : aEvents.requests_) {
      requests_.push_back(std::move(request));
    }
    disconnected_.insert(
      disconnected_.end(), aEvents.disconnected_.begin(), aEvents.disconnected_.end());
    for (AnnouncedBody& announced : aEvents.announced_) {
      announced_.push_back(std::move(announced));
    }
    invalid_ += aEvents.invalid_;
  }

  Poller poller_;
  HttpServer server_;
  Poco::Net::SocketAddress address_;
  Instant now_;
  std::vector<ArrivedRequest> requests_;
  std::vector<AnnouncedBody> announced_;
  std::vector<ExchangeId> disconnected_;
  std::uint64_t invalid_ = 0;
};

/** All but kOnce are repeatable. */
bool
IsRepeatable(const Poco::Net::HTTPRequest& aHead)
{
  return aHead.getURI() != "/once";
}

/** Sends more than the server receives behind a request in progress. The rest fits into the buffer
 * of the kernel, so that the end of the connection can arrive. */
void
PauseReading(Server& aServer, LoopbackPeer& aClient)
{
  const std::string ahead(kMaxInputAhead + 20'000, 'x');
  std::string_view unsent = ahead;
  cr_assert(aServer.RunUntil([&] {
    unsent.remove_prefix(aClient.SendSome(unsent));
    return unsent.empty();
  }));
  aServer.Settle();
}

} // namespace

Test(http_server, keep_alive_carries_several_requests)
{
  Server server;
  LoopbackPeer client(server.address_);
  for (std::size_t number = 0; number < 3; ++number) {
    client.Send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb" + std::to_string(number));
    cr_assert(server.RunUntilRequests(number + 1));
    cr_expect_eq(server.requests_[number].message_.body_, "b" + std::to_string(number));
    cr_expect_eq(server.requests_[number].peer_, "127.0.0.1");
    server.Reply(number, "answer" + std::to_string(number));
    cr_assert(server.RunUntil([&] { return client.Has("answer" + std::to_string(number)); }));
  }
  cr_expect(!client.IsClosed() && server.server_.ConnectionCount() == 1);
}

/** Guards against a stack that grows with the requests that a client sends ahead, and against a
 * client that holds up the others with them. */
Test(http_server, one_request_sent_ahead_is_read_at_a_time)
{
  constexpr std::size_t kRequests = 100;
  Server server;
  LoopbackPeer client(server.address_);
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) {
    requests += kGet;
  }
  client.Send(requests);
  cr_assert(server.RunUntilRequests(1));
  for (std::size_t i = 1; i < kRequests; ++i) {
    server.Reply(i - 1, "a");
    cr_assert_eq(server.requests_.size(), i, "read by the reply to the one before");
    server.PollOnce();
    cr_assert_eq(server.requests_.size(), i + 1);
  }
}

/** Guards against a process that runs out of memory because each connection has a limit and all
 * together have none: the oldest long request is refused, and an ordinary one is not. */
Test(http_server, memory_is_released_from_the_oldest_long_request)
{
  constexpr std::size_t kLongBody = 100'000;
  Server server(10, 2 * kLongBody);
  std::vector<LoopbackPeer> crowd;
  for (int i = 0; i < 3; ++i) {
    server.now_ += 1s;
    crowd.emplace_back(server.address_);
    crowd.back().Send("POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kLongBody + 1) +
                      "\r\n\r\n" + std::string(kLongBody, 'x'));
    cr_assert(server.RunUntil(
      [&] { return server.server_.HeldBytes() > (static_cast<std::size_t>(i) + 1) * kLongBody; }));
  }
  LoopbackPeer ordinary(server.address_);
  ordinary.Send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb");
  cr_assert(server.RunUntilConnections(4));
  server.Settle();
  for (std::size_t i = 0; i < crowd.size(); ++i) {
    cr_assert(server.Release(kLongMessages));
    cr_expect(server.RunUntil([&] { return crowd[i].Has("503") && crowd[i].Has("not-run"); }));
    cr_expect_lt(server.server_.HeldBytes(), 2 * kLongBody * (crowd.size() - i));
  }
  cr_expect_not(server.Release(kLongMessages), "short requests are kept");
  ordinary.Send("b");
  cr_assert(server.RunUntilRequests(1));
  server.Reply(0, "answer");
  cr_expect(server.RunUntil([&] { return ordinary.Has("answer"); }));
}

/** Guards against parsed heads that are in no account: a field of 4 bytes takes many times that. */
Test(http_server, header_fields_of_incomplete_requests_are_held_bytes)
{
  constexpr std::size_t kFields = 1000;
  Server server;
  LoopbackPeer client(server.address_);
  std::string head = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n";
  for (std::size_t i = 0; i < kFields; ++i) {
    head += "a:\r\n";
  }
  client.Send(head + "\r\nb");
  cr_assert(server.RunUntilConnections(1));
  server.Settle();
  cr_expect_geq(server.server_.HeldBytes(), kFields * 2 * sizeof(std::string));
}

/** Guards against a body that every configuration allows and that is refused for its size. */
Test(http_server, body_within_the_limit_of_the_operator_is_read)
{
  constexpr std::size_t kBody = std::size_t{ 5 } << 20;
  Server server(10, kMaxBodyBytes);
  CallerLimits limits;
  limits.maxBodyBytes_ = std::size_t{ 64 } << 20;
  server.server_.SetLimits(limits);
  LoopbackPeer client(server.address_);
  client.Send("POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n");
  constexpr std::size_t kPiece = std::size_t{ 64 } << 10;
  for (std::size_t sent = 0; sent < kBody && !client.IsClosed(); sent += kPiece) {
    client.Send(std::string(kPiece, 'x'));
    server.Settle();
  }
  cr_expect(server.RunUntilRequests(1));
  cr_expect_not(client.Has("413"));
}

/** Guards against thousands of short messages that together take the memory of the VM, and are
 * never given up because each of them is short. */
Test(http_server, memory_is_released_from_short_messages_when_no_long_one_is_left)
{
  Server server;
  std::vector<LoopbackPeer> crowd;
  for (int i = 0; i < 3; ++i) {
    server.now_ += 1s;
    crowd.emplace_back(server.address_);
    crowd.back().Send("POST /a HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(800, 'x'));
    cr_assert(server.RunUntilConnections(static_cast<std::size_t>(i) + 1));
    server.Settle();
  }
  LoopbackPeer ordinary(server.address_);
  ordinary.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  for (LoopbackPeer& oldest : crowd) {
    cr_assert(server.Release(kAllMessages));
    cr_expect(server.RunUntil([&] { return oldest.Has("503") && oldest.Has("not-run"); }));
  }
  cr_expect_not(server.Release(kAllMessages), "a request was passed on");
  server.Reply(0, "answer");
  cr_expect(server.RunUntil([&] { return ordinary.Has("answer"); }));
}

/** Guards against clients that take all connections and send nothing more. */
Test(http_server, silent_connection_within_a_request_gives_way_to_a_new_one)
{
  Server server(2);
  LoopbackPeer silent(server.address_);
  silent.Send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nb");
  LoopbackPeer idle(server.address_);
  cr_assert(server.RunUntilConnections(2));
  server.Settle();
  LoopbackPeer early(server.address_);
  cr_expect(server.RunUntil([&] { return early.Has("503"); }), "the others are still at work");
  server.now_ += 3s;
  LoopbackPeer late(server.address_);
  late.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  cr_expect(server.RunUntil([&] { return silent.Has("503") && silent.IsClosed(); }));
  cr_expect_not(idle.IsClosed());
}

Test(http_server, closes_after_the_reply_when_the_client_wants_it)
{
  for (const char* text :
       { "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n" }) {
    Server server;
    LoopbackPeer client(server.address_);
    client.Send(text);
    cr_assert(server.RunUntilRequests(1));
    server.Reply(0, "last");
    cr_assert(server.RunUntil([&] { return client.IsClosed(); }), "%s", text);
    cr_expect(client.Has("last") && client.Has("Connection: Close"), "%s", text);
  }
}

/** With two requests of a connection in flight, replies could be sent out of order. */
Test(http_server, pipelined_requests_are_answered_in_order)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send(kGet + kGet + kGet);
  for (std::size_t number = 0; number < 3; ++number) {
    cr_assert(server.RunUntilRequests(number + 1));
    server.Settle();
    cr_assert_eq(server.requests_.size(), number + 1);
    server.Reply(number, "answer" + std::to_string(number));
  }
  cr_assert(server.RunUntil([&] { return client.Has("answer2"); }));
  cr_expect(client.received_.find("answer0") < client.received_.find("answer1"));
  cr_expect(client.received_.find("answer1") < client.received_.find("answer2"));
}

/** Guards against a slow first request that delays those behind it, against replies out of order,
 * and against a client that has any number of requests in progress. */
Test(http_server, repeatable_requests_of_a_connection_are_processed_concurrently)
{
  Server server(10, kMaxBody, false, IsRepeatable);
  LoopbackPeer client(server.address_);
  for (int i = 0; i < 10; ++i) {
    client.Send(kGet);
  }
  cr_assert(server.RunUntilRequests(kMaxRequestsOfConnection));
  server.Settle();
  cr_assert_eq(server.requests_.size(), kMaxRequestsOfConnection);
  const std::size_t held = server.server_.HeldBytes();
  const std::string body(kMaxBody, 'x');
  for (std::size_t i = 1; i < kMaxRequestsOfConnection; ++i) {
    server.Reply(i, body + std::to_string(i) + ";");
  }
  server.Settle();
  cr_expect(client.received_.empty() && server.requests_.size() == kMaxRequestsOfConnection);
  cr_expect_geq(server.server_.HeldBytes(), held + 7 * kMaxBody, "replies that wait are counted");
  server.Reply(0, "0;");
  cr_assert(server.RunUntil([&] { return client.Has("x7;"); }));
  cr_assert(server.RunUntilRequests(10));
  std::size_t last = client.received_.find("\n0;");
  for (int i = 1; i < 8; ++i) {
    const std::size_t next = client.received_.find("x" + std::to_string(i) + ";");
    cr_expect(next != std::string::npos && last < next);
    last = next;
  }
}

/** Guards against a request that runs twice because it was in progress behind a reply that closed
 * the connection, after which the client sends it again. */
Test(http_server, request_that_is_not_repeatable_is_in_progress_alone)
{
  const struct
  {
    std::string sent_;
    /** Requests in progress at the start, and after each reply in their order. */
    std::vector<std::size_t> inProgress_;
  } cases[] = {
    { kGet + kGet + kOnce + "x" + kGet, { 2, 1, 1, 1, 0 } },
    { kOnce + "x" + kGet + kGet, { 1, 2, 1, 0 } },
    { kOnce + "x" + kOnce + "x", { 1, 1, 0 } },
    { "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n" + kGet, { 1, 0 } },
  };
  for (const auto& row : cases) {
    Server server(10, kMaxBody, false, IsRepeatable);
    LoopbackPeer client(server.address_);
    client.Send(row.sent_);
    cr_assert(server.RunUntilRequests(1));
    for (std::size_t replies = 0; replies < row.inProgress_.size(); ++replies) {
      server.Settle();
      cr_expect_eq(server.requests_.size(),
                   replies + row.inProgress_[replies],
                   "%zu replies of %s",
                   replies,
                   row.sent_.c_str());
      if (replies < server.requests_.size()) {
        server.Reply(replies, "answer");
      }
    }
  }
}

/** Guards against replies behind one that closes the connection, and against requests that go on
 * running although the client sends them again. */
Test(http_server, reply_that_closes_ends_the_requests_behind_it)
{
  for (const bool isStopped : { true, false }) {
    Server server(10, kMaxBody, false, IsRepeatable);
    LoopbackPeer client(server.address_);
    client.Send(kGet + kGet + kGet + (isStopped ? kOnce + "x" : "invalid\r\n\r\n"));
    cr_assert(server.RunUntilRequests(3));
    server.Settle();
    server.Reply(1, "second");
    if (isStopped) {
      server.server_.CloseAfterReplies();
    }
    server.Reply(0, "first");
    if (!isStopped) {
      cr_expect_not(client.IsClosed());
      server.Reply(2, "third");
    }
    cr_assert(server.RunUntil([&] { return client.IsClosed(); }));
    cr_expect_eq(client.Has("second"), !isStopped);
    cr_expect_eq(client.Has("400"), !isStopped, "the refusal has its place");
    cr_expect_eq(server.requests_.size(), 3U);
    cr_expect_eq(server.disconnected_.size(), isStopped ? 1U : 0U);
  }
}

/** Guards against memory of waiting requests and replies that nothing gives back. */
Test(http_server, memory_of_requests_sent_ahead_is_bounded_and_released)
{
  Server server(10, kMaxBodyBytes, false, IsRepeatable);
  LoopbackPeer client(server.address_);
  client.Send(kGet + kGet + kGet + kGet + kOnce + "x");
  cr_assert(server.RunUntilRequests(4));
  server.Settle();
  server.Reply(1, std::string(kMaxBytesAhead, 'x'));
  cr_assert(server.Release(kAllMessages));
  cr_expect(server.disconnected_.empty(), "the request that waits is refused first");
  client.Send(kGet);
  server.Settle();
  cr_expect_eq(server.requests_.size(), 4U);
  cr_assert(server.Release(kLongMessages));
  cr_expect_eq(server.disconnected_.size(), 3U, "those without a reply");
  cr_expect_eq(server.server_.HeldBytes(), 0U);
  server.Reply(0, "late");

  LoopbackPeer other(server.address_);
  other.Send(kGet + kGet + kGet);
  cr_assert(server.RunUntilRequests(7));
  server.Reply(5, std::string(kMaxBytesAhead, 'x'));
  other.Send(kGet);
  server.Settle();
  cr_expect_eq(server.requests_.size(), 7U, "the reply that waits leaves no room");
  server.Reply(4, "first");
  cr_assert(server.RunUntil([&] {
    other.Read();
    return server.requests_.size() == 8;
  }));
}

/** Guards against replies out of order and lost requests, for any order of the replies and any
 * mix of requests. */
Test(http_server, replies_keep_the_order_of_requests)
{
  std::mt19937 random(20261207); // NOLINT: the same cases in every run.
  for (int run = 0; run < 50; ++run) {
    Server server(10, kMaxBody, false, IsRepeatable);
    LoopbackPeer client(server.address_);
    constexpr std::size_t kRequests = 30;
    std::string expected;
    for (std::size_t i = 0; i < kRequests; ++i) {
      client.Send(random() % 4 == 0 ? kOnce + "x" : kGet);
      expected += "<" + std::to_string(i) + ">";
    }
    std::vector<std::size_t> open;
    for (std::size_t seen = 0; seen < kRequests || !open.empty();) {
      cr_assert(server.RunUntil([&] { return server.requests_.size() > seen || !open.empty(); }));
      server.PollOnce();
      for (; seen < server.requests_.size(); ++seen) {
        open.push_back(seen);
      }
      cr_assert_leq(open.size(), kMaxRequestsOfConnection);
      const std::size_t next = random() % open.size();
      server.Reply(open[next], "<" + std::to_string(open[next]) + ">");
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(next));
    }
    cr_assert(server.RunUntil([&] { return client.Has("<29>"); }));
    std::string bodies;
    for (std::size_t at = client.received_.find('<'); at != std::string::npos;
         at = client.received_.find('<', at + 1)) {
      bodies += client.received_.substr(at, client.received_.find('>', at) + 1 - at);
    }
    cr_assert_str_eq(bodies.c_str(), expected.c_str());
  }
}

Test(http_server, refused_requests)
{
  const struct
  {
    std::string text_;
    const char* status_;
  } cases[] = {
    { "\r\n\r\n", "400" },
    { "GET\r\n\r\n", "400" },
    { "POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400" },
    { "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400" },
    { "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400" },
    { "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", "400" },
    { "POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "413" },
    { "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n", "413" },
    { "GET /a HTTP/1.1\r\nX: " + std::string(kMaxHeaderBytes, 'x'), "431" },
    { std::string(kMaxHeaderBytes + 1, 'x'), "431" },
  };
  for (const auto& row : cases) {
    Server server;
    LoopbackPeer client(server.address_);
    client.Send(row.text_);
    cr_expect(server.RunUntil([&] { return client.IsClosed(); }), "%.60s", row.text_.c_str());
    const std::string line = std::string("HTTP/1.1 ") + row.status_ + " ";
    cr_expect(client.received_.find(line) == 0,
              "%.60s: %.20s",
              row.text_.c_str(),
              client.received_.c_str());
    cr_expect(client.Has("Fulmarway-Verdict: not-run"), "%.60s", row.text_.c_str());
    cr_expect(server.requests_.empty() && server.invalid_ == 1, "%.60s", row.text_.c_str());
    cr_expect_eq(server.server_.ConnectionCount(), 0U);
  }
}

/** A request that is truncated at any byte must not be executed. */
Test(http_server, truncated_requests)
{
  const std::string request = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
  Server server;
  for (std::size_t size = 0; size < request.size(); ++size) {
    LoopbackPeer client(server.address_);
    client.Send(request.substr(0, size));
    cr_assert(server.RunUntilConnections(1));
    client.Close();
    cr_assert(server.RunUntilConnections(0));
  }
  cr_expect(server.requests_.empty() && server.disconnected_.empty());
}

Test(http_server, request_in_single_bytes)
{
  Server server;
  LoopbackPeer client(server.address_);
  for (const char letter : std::string("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")) {
    cr_assert(server.requests_.empty());
    client.Send({ &letter, 1 });
    server.Settle();
  }
  cr_assert(server.RunUntilRequests(1));
  cr_expect_eq(server.requests_[0].message_.body_, "abc");
}

/** Each byte restarts the idle timeout, so only the age of the request limits a slow sender. */
Test(http_server, slow_sender_is_dropped)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send("GET /a HTTP/1.1\r\n");
  cr_assert(server.RunUntilConnections(1));
  for (int step = 0; step < 6; ++step) {
    server.Settle();
    server.server_.CloseIdle(server.now_);
    cr_assert_eq(server.server_.ConnectionCount(), 1U, "dropped after %d steps", step);
    server.now_ += 5s;
    client.Send("X");
  }
  server.Settle();
  server.server_.CloseIdle(server.now_ + 5s);
  cr_expect_eq(server.server_.ConnectionCount(), 0U);
}

/** Guards against operator limits that have no effect, or that exceed the upper bounds of the
 * server. */
Test(http_server, limits_of_the_operator_hold)
{
  Server server;
  server.server_.SetLimits({ 200, 1U << 30, 3s, 10s });
  LoopbackPeer large(server.address_);
  large.Send("GET /a HTTP/1.1\r\nX: " + std::string(200, 'x'));
  cr_expect(server.RunUntil([&] { return large.Has("431"); }));
  LoopbackPeer body(server.address_);
  body.Send("POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBody + 1) + "\r\n\r\n");
  cr_expect(server.RunUntil([&] { return body.Has("413"); }));

  LoopbackPeer slow(server.address_);
  slow.Send("GET /a HTTP/1.1\r\n");
  LoopbackPeer slowBody(server.address_);
  slowBody.Send("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  LoopbackPeer idle(server.address_);
  cr_assert(server.RunUntilConnections(3));
  server.Settle();
  server.server_.CloseIdle(server.now_ + 2999ms);
  server.Settle();
  cr_expect_eq(server.server_.ConnectionCount(), 3U);
  server.server_.CloseIdle(server.now_ + 3s);
  cr_expect(server.RunUntil([&] { return slow.Has("408") && slow.IsClosed(); }));
  cr_expect_eq(server.server_.ConnectionCount(), 2U, "a body may take longer");
  server.server_.CloseIdle(server.now_ + 9999ms);
  cr_expect_eq(server.server_.ConnectionCount(), 2U);
  server.server_.CloseIdle(server.now_ + 10s);
  cr_expect_eq(server.server_.ConnectionCount(), 0U);
}

Test(http_server, idle_connection_is_closed)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  server.server_.CloseIdle(server.now_ + 1h);
  cr_assert_eq(server.server_.ConnectionCount(), 1U, "closed while the request runs");
  server.Reply(0, "answer");
  server.server_.CloseIdle(server.now_ + 119s);
  cr_assert_eq(server.server_.ConnectionCount(), 1U);
  server.server_.CloseIdle(server.now_ + 120s);
  cr_expect_eq(server.server_.ConnectionCount(), 0U);
}

/** A client that does not read must not make the node buffer one reply after another. */
Test(http_server, reply_that_is_not_read)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send(kGet + kGet);
  cr_assert(server.RunUntilRequests(1));
  server.Reply(0, std::string(32U << 20, 'x'));
  server.Settle();
  cr_expect_eq(server.requests_.size(), 1U);
  cr_expect(server.server_.HasPendingOutput());
  server.server_.CloseIdle(server.now_ + 119s);
  cr_assert_eq(server.server_.ConnectionCount(), 1U);
  server.server_.CloseIdle(server.now_ + 120s);
  cr_expect_eq(server.server_.ConnectionCount(), 0U);
}

/** Guards against requests that are cut off because their client sent much behind them (LOST), and
 * against memory that grows with what clients send. */
Test(http_server, input_that_can_not_be_read_yet_waits)
{
  const auto post = [](std::size_t aBytes) {
    return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(aBytes) + "\r\n\r\n" +
           std::string(aBytes, 'b');
  };
  const std::string longField = "GET /a HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n";
  const struct
  {
    std::string first_;
    std::size_t firstCount_;
    std::string ahead_;
    std::size_t aheadCount_;
  } cases[] = {
    { kOnce + "x", 1, longField, 2500 },
    { kGet + kGet + kGet + kGet + kGet + kGet + kGet + kGet, 8, longField, 2500 },
    { kOnce + "x", 1, post(8000), 1000 },
    { post(600'000) + post(600'000), 2, post(600'000), 12 },
    { kOnce + "x", 1, kOnce + "x", 50'000 },
  };
  for (const auto& row : cases) {
    Server server(10, kMaxBodyBytes, false, IsRepeatable);
    LoopbackPeer client(server.address_);
    std::string input = row.first_;
    for (std::size_t i = 0; i < row.aheadCount_; ++i) {
      input += row.ahead_;
    }
    std::string_view unsent = input;
    // A buffer has up to twice the size of what is in it; a body that has begun has its own limit.
    const std::size_t bound = 2 * (kMaxInputAhead + kMaxBytesAhead + row.ahead_.size()) + 100'000;
    const auto send = [&] {
      unsent.remove_prefix(client.SendSome(unsent));
      server.Settle();
      cr_assert_leq(server.server_.HeldBytes(), bound);
    };
    for (int turn = 0; turn < 200; ++turn) {
      send();
    }
    cr_assert_eq(server.requests_.size(), row.firstCount_, "all that may be in progress at once");
    cr_assert_eq(server.server_.ConnectionCount(), 1U);
    const std::size_t count = row.firstCount_ + row.aheadCount_;
    for (std::size_t next = 0; next < count; ++next) {
      cr_assert(server.RunUntil([&] {
        send();
        return server.requests_.size() > next;
      }));
      server.Reply(next, "answer" + std::to_string(next) + ";");
      client.Read();
    }
    cr_expect(server.RunUntil([&] { return client.Has(std::to_string(count - 1) + ";"); }));
    cr_expect(server.disconnected_.empty() && server.invalid_ == 0 && !client.IsClosed());
  }
}

/** Guards against work for a client that left while its reading paused (GONE). */
Test(http_server, client_that_leaves_while_its_reading_pauses)
{
  for (const bool isReset : { false, true }) {
    Server server;
    LoopbackPeer client(server.address_);
    client.Send(kGet);
    cr_assert(server.RunUntilRequests(1));
    PauseReading(server, client);
    server.Record(server.server_.CloseIdle(server.now_));
    cr_assert(server.disconnected_.empty());
    cr_expect_not(server.HasReadySocket(), "what the kernel holds wakes nothing");
    isReset ? client.Reset() : client.Close();
    cr_assert(server.RunUntil([&] {
      server.Record(server.server_.CloseIdle(server.now_));
      return server.server_.ConnectionCount() == 0;
    }));
    cr_expect(server.disconnected_ == std::vector<ExchangeId>{ server.requests_[0].exchange_ });
  }
}

/** The same where so much was sent that the end of the connection can't arrive: the next reply
 * shows that nobody receives it. */
Test(http_server, client_that_leaves_behind_unread_input)
{
  Server server(10, kMaxBody, false, IsRepeatable);
  LoopbackPeer client(server.address_);
  client.Send(kGet + kGet + kGet + kOnce + "x");
  cr_assert(server.RunUntilRequests(3));
  const std::string ahead(64U << 20, 'x');
  std::string_view unsent = ahead;
  for (std::size_t sent = 1; sent > 0;) {
    sent = client.SendSome(unsent);
    unsent.remove_prefix(sent);
    server.Settle();
  }
  client.Close();
  server.Reply(0, "answer");
  cr_assert(server.RunUntilConnections(0));
  cr_expect_eq(server.disconnected_.size(), 2U);
  cr_expect_eq(server.requests_.size(), 3U);
}

/** Guards against a limit of each connection that many exceed together, and against a client that
 * is too slow because its reading paused. */
Test(http_server, connections_share_the_room_for_input)
{
  Server server(10, kMaxBody, false, IsRepeatable);
  server.server_.SetLimits({ kMaxHeaderBytes, kMaxBody, 3s, 100s });
  LoopbackPeer unread(server.address_);
  unread.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  server.Reply(0, std::string(2 * kHeldBytesWithInputAhead, 'x'));
  server.Settle();
  const std::size_t held = server.server_.HeldBytes();
  cr_assert_gt(held, kHeldBytesWithInputAhead);

  LoopbackPeer client(server.address_);
  const std::string start = "GET /a HTTP/1.1\r\nX: ";
  client.Send(kGet + kGet + start);
  cr_assert(server.RunUntilRequests(3));
  server.Settle();
  server.Reply(2, std::string(kMaxBytesAhead, 'x')); // Nothing more is read before the first reply.
  client.Send(std::string(kMaxHeaderBytes - start.size(), 'x') + "\r\n\r\n" + kGet);
  server.Settle();
  cr_expect_lt(server.server_.HeldBytes(), held + kMaxBytesAhead + 3 * kMaxHeaderBytes);
  server.now_ += 4s;
  server.Reply(1, "first");
  server.Record(server.server_.CloseIdle(server.now_));
  cr_assert(server.RunUntil([&] {
    client.Read();
    return server.requests_.size() == 5;
  }));
  cr_expect(!client.Has("408"));
}

/** Guards against a last reply that the client loses because the connection is reset: it was closed
 * while input was unread. */
Test(http_server, last_reply_arrives_although_input_is_unread)
{
  enum class End
  {
    kClient,
    kTimeout,
    kNewConnection,
  };
  for (const End end : { End::kClient, End::kTimeout, End::kNewConnection }) {
    Server server(1);
    LoopbackPeer client(server.address_);
    client.Send(kGet);
    cr_assert(server.RunUntilRequests(1));
    PauseReading(server, client);
    server.server_.CloseAfterReplies();
    if (end != End::kNewConnection) {
      server.server_.StopAccepting();
    }
    const std::string body(500'000, 'y'); // Fits into the buffers of the kernel.
    server.Reply(0, body);
    cr_assert_not(server.server_.HasPendingOutput());
    server.Record(server.server_.CloseIdle(server.now_));
    server.Settle();
    cr_expect_eq(server.server_.ConnectionCount(), 1U);
    cr_assert(server.RunUntil([&] { return client.IsClosed(); }));
    cr_expect(client.received_.ends_with(body));
    if (end == End::kClient) {
      client.Close();
      cr_expect(server.RunUntilConnections(0));
    } else if (end == End::kTimeout) {
      server.Record(server.server_.CloseIdle(server.now_ + kLingerTime));
      cr_expect_eq(server.server_.ConnectionCount(), 0U);
    } else {
      LoopbackPeer other(server.address_);
      other.Send(kGet);
      cr_expect(server.RunUntilRequests(2));
    }
  }
}

Test(http_server, client_that_leaves_before_its_reply)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  client.Close();
  cr_assert(server.RunUntilConnections(0));
  cr_expect(server.disconnected_ == std::vector<ExchangeId>{ server.requests_[0].exchange_ });
  LoopbackPeer other(server.address_);
  other.Send(kGet);
  cr_assert(server.RunUntilRequests(2));
  server.Reply(0, "late");
  server.Reply(1, "own");
  cr_assert(server.RunUntil([&] { return other.Has("own"); }));
  cr_expect(!other.Has("late"));
}

/** The client would parse a reply body to HEAD as the start of the next reply. */
Test(http_server, reply_to_head_has_no_body)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send("HEAD /a HTTP/1.1\r\n\r\n" + kGet);
  cr_assert(server.RunUntilRequests(1));
  server.Reply(0, "not sent");
  cr_assert(server.RunUntilRequests(2));
  server.Reply(1, "answer");
  cr_assert(server.RunUntil([&] { return client.Has("answer"); }));
  cr_expect(client.Has("Content-Length: 8") && !client.Has("not sent"));
}

/** Guards against a client that waits in vain before it sends its body, and against a request that
 * is not told from the "100 Continue" of another one. */
Test(http_server, client_that_waits_with_its_body_is_told_to_continue)
{
  const std::string expects =
    "POST /a HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
  Server server;
  LoopbackPeer client(server.address_);
  for (std::size_t number = 0; number < 2; ++number) {
    client.received_.clear();
    client.Send(expects);
    cr_assert(server.RunUntil([&] { return client.Has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    server.Settle();
    client.Send("ab");
    server.Settle();
    cr_expect_eq(client.received_.size(), std::string("HTTP/1.1 100 Continue\r\n\r\n").size());
    client.Send("c");
    cr_assert(server.RunUntilRequests(number + 1));
    cr_expect_str_eq(server.requests_[number].message_.body_.c_str(), "abc");
    server.Reply(number, "answer");
    cr_assert(server.RunUntil([&] { return client.Has("answer"); }));
  }
  const struct
  {
    const char* name_;
    std::string request_;
    std::string answer_;
  } cases[] = {
    { "the body is here", expects + "abc", "200" },
    { "client of HTTP/1.0",
      "POST /a HTTP/1.0\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n",
      "" },
    { "body too long",
      "POST /a HTTP/1.1\r\nContent-Length: 1001\r\nExpect: 100-continue\r\n\r\n",
      "413" },
  };
  for (const auto& row : cases) {
    Server other;
    LoopbackPeer quick(other.address_);
    quick.Send(row.request_);
    other.Settle();
    if (!other.requests_.empty()) {
      other.Reply(0, "answer");
    }
    cr_expect(other.RunUntil([&] { return quick.Has(row.answer_); }), "%s", row.name_);
    cr_expect_not(quick.Has("100 Continue"), "%s", row.name_);
  }
}

/** Guards against a length of 0 that is taken for the length that GET would give. */
/** Guards against an announced body that is read although the request was refused, and against the
 * rest of a body that came while the decision was open. */
Test(http_server, owner_decides_about_an_announced_body)
{
  const std::string announcement =
    "POST /a HTTP/1.1\r\nContent-Length: 900\r\nExpect: 100-continue\r\n\r\n";
  for (const bool isPermitted : { true, false }) {
    for (const bool waits : { true, false }) {
      Server server(10, kMaxBody, true);
      LoopbackPeer client(server.address_);
      client.Send(announcement + (waits ? "" : std::string(899, 'a')));
      cr_assert(server.RunUntil([&] { return server.announced_.size() == 1; }));
      server.Settle();
      cr_expect_eq(client.received_.size(), 0U);
      const ExchangeId exchange = server.announced_[0].exchange_;
      if (!isPermitted) {
        HttpResponseHead head(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        server.Record(server.server_.Reply(exchange, head, "no", server.now_));
        cr_assert(server.RunUntil([&] { return client.IsClosed(); }));
        cr_expect(client.Has("503") && client.Has("Connection: Close") && !client.Has("100"));
        cr_expect(server.requests_.empty());
        continue;
      }
      server.Record(server.server_.PermitBody(exchange, server.now_));
      cr_assert(server.RunUntil([&] { return client.Has("100 Continue\r\n\r\n"); }));
      client.Send(waits ? std::string(900, 'a') : "a");
      cr_assert(server.RunUntilRequests(1));
      cr_expect_eq(server.requests_[0].message_.body_.size(), 900U);
      server.Reply(0, "answer");
      cr_assert(server.RunUntil([&] { return client.Has("answer"); }));
      cr_expect_not(client.IsClosed());
    }
  }
}

Test(http_server, answers_without_a_body_name_no_length)
{
  for (const int status : { 200, 204, 304 }) {
    Server server;
    LoopbackPeer client(server.address_);
    client.Send((status == 200 ? "HEAD" : "GET") + std::string(" /a HTTP/1.1\r\n\r\n"));
    cr_assert(server.RunUntilRequests(1));
    HttpResponseHead head(status);
    if (status != 200) {
      head.set("Content-Length", "500");
    }
    server.Record(server.server_.Reply(server.requests_[0].exchange_, head, "", server.now_));
    cr_assert(server.RunUntil([&] { return client.Has("\r\n\r\n"); }));
    cr_expect(client.Has("HTTP/1.1 " + std::to_string(status)));
    cr_expect_not(client.Has("Content-Length"), "%d", status);
  }
}

/** Guards against an answer to HEAD that hides the length of what GET would return. */
Test(http_server, answer_to_head_names_the_length_of_the_backend_server)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send("HEAD /a HTTP/1.1\r\n\r\n");
  cr_assert(server.RunUntilRequests(1));
  HttpResponseHead head(200);
  head.set("Content-Length", "500");
  server.Record(server.server_.Reply(server.requests_[0].exchange_, head, "", server.now_));
  cr_assert(server.RunUntil([&] { return client.Has("Content-Length: 500\r\n"); }));
}

Test(http_server, connection_limit)
{
  Server server(2);
  LoopbackPeer first(server.address_);
  LoopbackPeer second(server.address_);
  cr_assert(server.RunUntilConnections(2));
  LoopbackPeer third(server.address_);
  cr_assert(server.RunUntil([&] { return third.IsClosed(); }));
  cr_expect(third.Has("HTTP/1.1 503 ") && third.Has("Fulmarway-Verdict: not-run"));
  first.Close();
  cr_assert(server.RunUntilConnections(1));
  LoopbackPeer fourth(server.address_);
  fourth.Send(kGet);
  cr_expect(server.RunUntilRequests(1));
}

/** A planned stop completes requests in flight and closes idle connections. */
Test(http_server, stop_accepting)
{
  Server server;
  LoopbackPeer idle(server.address_);
  cr_assert(server.RunUntilConnections(1));
  LoopbackPeer busy(server.address_);
  busy.Send(kGet + kGet);
  cr_assert(server.RunUntilRequests(1));
  server.server_.StopAccepting();
  server.server_.CloseIdle(server.now_);
  cr_assert(server.RunUntil([&] { return idle.IsClosed(); }));
  server.Reply(0, "answer");
  cr_assert(server.RunUntil([&] { return busy.IsClosed(); }));
  cr_expect(busy.Has("answer") && busy.Has("Connection: Close"));
  cr_expect_eq(server.requests_.size(), 1U);
  cr_expect_throw(LoopbackPeer(server.address_), Poco::Exception);
}

/** Guards against a stop that closes the connection of a client that still reads its reply, and
 * against one that waits for idle connections. */
Test(http_server, stop_keeps_a_connection_until_its_reply_is_written)
{
  Server server;
  LoopbackPeer idle(server.address_);
  LoopbackPeer slow(server.address_);
  slow.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  const std::string body(32U << 20, 'x');
  server.Reply(0, body);
  server.server_.CloseAfterReplies();
  server.server_.StopAccepting();
  server.server_.CloseIdle(server.now_);
  cr_expect(server.server_.HasPendingOutput() && server.server_.ConnectionCount() == 1);
  cr_assert(server.RunUntil([&] {
    slow.Read();
    return slow.received_.size() > body.size();
  }));
  cr_expect_not(server.server_.HasPendingOutput());
  server.server_.CloseIdle(server.now_);
  cr_expect_eq(server.server_.ConnectionCount(), 0U);
}

/** A reply larger than the socket buffer is sent in parts; a full buffer is not a disconnect. */
Test(http_server, reply_larger_than_the_socket_buffer)
{
  Server server;
  LoopbackPeer client(server.address_);
  client.Send(kGet);
  cr_assert(server.RunUntilRequests(1));
  const std::string body(32U << 20, 'x');
  server.Reply(0, body);
  cr_assert(server.RunUntil([&] {
    client.Read();
    return client.received_.size() > body.size() || client.IsClosed();
  }));
  cr_expect(!client.IsClosed());
  const std::size_t start = client.received_.find("\r\n\r\n") + 4;
  cr_expect(client.received_.substr(start) == body);
}
