/** \file
 * Guards against an answer that is truncated, belongs to another request or is returned twice, and
 * against an outcome that is wrong about whether the server may have received the request.
 */
#include "node/HttpClient.h"
#include "Loopback.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <memory>
#include <set>

using namespace fulmarway;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBody = 1000;
constexpr std::size_t kMaxBuffered = 3000;
const std::string kCompleteAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

class Client
{
public:
  Client()
    : listener_(Poco::Net::SocketAddress("127.0.0.1:0"))
    , client_({ listener_.address(), SocketRole::kBackendConnection, kMaxBody, kMaxBuffered },
              poller_)
  {
    listener_.setBlocking(false);
  }

  void Send(std::uint64_t aToken,
            std::optional<ExpectedEcho> aEcho = std::nullopt,
            const std::string& aMethod = "GET")
  {
    Poco::Net::HTTPRequest head(aMethod, "/" + std::to_string(aToken), "HTTP/1.1");
    client_.Send(aToken, head, "", now_, now_ + 10s, std::move(aEcho));
  }

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

  void PollOnce(Duration aWait = Duration(0))
  {
    for (const ReadySocket& ready : poller_.Poll(aWait)) {
      client_.HandleReady(ready, now_);
    }
    for (HttpResult& result : client_.ExtractResults()) {
      results_.push_back(std::move(result));
    }
  }

  void Settle()
  {
    for (int iteration = 0; iteration < 20; ++iteration) {
      PollOnce();
    }
  }

  /** The server's end of the next connection. */
  std::unique_ptr<LoopbackPeer> Accept()
  {
    std::unique_ptr<LoopbackPeer> peer;
    const bool isAccepted = RunUntil([&] {
      try {
        peer = std::make_unique<LoopbackPeer>(listener_.acceptConnection());
        return true;
      } catch (const Poco::Exception&) {
        return false;
      }
    });
    cr_assert(isAccepted, "no connection");
    return peer;
  }

  /** The server's end of a connection that has received the request. */
  std::unique_ptr<LoopbackPeer> AcceptRequest(std::uint64_t aToken)
  {
    auto peer = Accept();
    cr_assert(RunUntil([&] { return peer->Has("GET /" + std::to_string(aToken) + " "); }));
    return peer;
  }

  bool RunUntilResult()
  {
    return RunUntil([&] { return !results_.empty(); });
  }

  Poco::Net::ServerSocket listener_;
  Poller poller_;
  HttpClient client_;
  Instant now_;
  std::vector<HttpResult> results_;
};

} // namespace

Test(http_client, answers_and_their_faults)
{
  const struct
  {
    const char* name_;
    std::string answer_;
    bool closes_;
    ExchangeOutcome outcome_;
    bool isReused_;
  } cases[] = {
    { "complete", kCompleteAnswer, false, ExchangeOutcome::kAnswered, true },
    { "complete, then closed", kCompleteAnswer, true, ExchangeOutcome::kAnswered, false },
    { "not kept alive",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
      false,
      ExchangeOutcome::kAnswered,
      false },
    { "followed by more",
      kCompleteAnswer + kCompleteAnswer,
      false,
      ExchangeOutcome::kAnswered,
      false },
    { "after an interim answer",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + kCompleteAnswer,
      false,
      ExchangeOutcome::kAnswered,
      true },
    { "without a length, after an interim answer",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab",
      true,
      ExchangeOutcome::kAnswered,
      false },
    { "interim answer only, then closed",
      "HTTP/1.1 103 Early Hints\r\n\r\n",
      true,
      ExchangeOutcome::kLost,
      false },
    { "unknown status",
      "HTTP/1.1 999 ?\r\nContent-Length: 2\r\n\r\nab",
      false,
      ExchangeOutcome::kLost,
      false },
    { "no answer", "", true, ExchangeOutcome::kLost, false },
    { "truncated head", "HTTP/1.1 200 OK\r\n", true, ExchangeOutcome::kLost, false },
    { "truncated body",
      kCompleteAnswer.substr(0, kCompleteAnswer.size() - 1),
      true,
      ExchangeOutcome::kLost,
      false },
    { "truncated chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      true,
      ExchangeOutcome::kLost,
      false },
    { "no length, closed cleanly",
      "HTTP/1.1 200 OK\r\n\r\nab",
      true,
      ExchangeOutcome::kAnswered,
      false },
    { "no length, too large",
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'a'),
      false,
      ExchangeOutcome::kLost,
      false },
    { "malformed", "nonsense\r\n\r\n", false, ExchangeOutcome::kLost, false },
    { "too large",
      "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
      false,
      ExchangeOutcome::kLost,
      false },
  };
  for (const auto& row : cases) {
    Client client;
    client.Send(1);
    const auto server = client.AcceptRequest(1);
    if (!row.answer_.empty()) {
      server->Send(row.answer_);
    }
    if (row.closes_) {
      server->Close();
    }
    cr_assert(client.RunUntilResult(), "%s", row.name_);
    client.Settle();
    cr_assert_eq(client.results_.size(), 1U, "%s", row.name_);
    const HttpResult& result = client.results_[0];
    cr_expect(result.token_ == 1 && result.outcome_ == row.outcome_, "%s", row.name_);
    const bool isAnswered = row.outcome_ == ExchangeOutcome::kAnswered;
    cr_expect_eq(result.response_.has_value(), isAnswered, "%s", row.name_);
    cr_expect(!isAnswered || result.response_->body_ == "ab", "%s", row.name_);
    client.Send(2);
    if (row.isReused_) {
      cr_expect(client.RunUntil([&] { return server->Has("GET /2 "); }), "%s", row.name_);
    } else {
      client.AcceptRequest(2);
    }
  }
}

/** Guards against a wait for the body that HEAD excludes, on a connection that was used for GET,
 * and against a missing body that is taken for complete after it. */
Test(http_client, answer_to_head_ends_with_its_head)
{
  Client client;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  server->Send(kCompleteAnswer);
  cr_assert(client.RunUntilResult());
  client.Send(2, std::nullopt, "HEAD");
  cr_assert(client.RunUntil([&] { return server->Has("HEAD /2 "); }));
  server->Send(head);
  cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
  cr_expect(client.results_[1].outcome_ == ExchangeOutcome::kAnswered);
  cr_expect(client.results_[1].response_->body_.empty());
  client.Send(3);
  cr_assert(client.RunUntil([&] { return server->Has("GET /3 "); }));
  server->Send(head);
  client.Settle();
  cr_expect_eq(client.results_.size(), 2U);
}

/** Guards against interim answers that restart the time limit of a request. */
Test(http_client, interim_answers_do_not_extend_the_deadline)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  for (int second = 1; second <= 9; ++second) {
    client.now_ = Instant{} + 1s * second;
    server->Send("HTTP/1.1 102 Processing\r\n\r\n");
    client.Settle();
    client.client_.Advance(client.now_);
  }
  client.Settle();
  cr_assert(client.results_.empty());
  client.now_ = Instant{} + 10s;
  client.client_.Advance(client.now_);
  client.Settle();
  cr_assert_eq(client.results_.size(), 1U);
  cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kLost);
}

/** Guards against an invalid answer that leaves no trace, and against a closed connection that
 * counts as one. */
Test(http_client, invalid_answer_is_named)
{
  Client closed;
  closed.Send(1);
  closed.AcceptRequest(1)->Close();
  cr_assert(closed.RunUntilResult());
  cr_expect_not(closed.results_[0].invalidAnswer_.has_value());
  Client client;
  client.Send(1);
  client.AcceptRequest(1)->Send("HTTP/1.1 600 ?\r\nContent-Length: 0\r\n\r\n");
  cr_assert(client.RunUntilResult());
  cr_assert(client.results_[0].invalidAnswer_.has_value());
  cr_expect_str_eq(client.results_[0].invalidAnswer_->subject_.c_str(), "response head");
}

/** Guards against a truncated answer that counts as complete: without a length, only a clean close
 * marks the end. */
Test(http_client, answer_without_a_length_is_incomplete_before_its_end)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  server->Send("HTTP/1.1 200 OK\r\n\r\nab");
  client.Settle();
  cr_assert(client.results_.empty(), "the connection is still open");
  server->Reset();
  cr_assert(client.RunUntilResult());
  cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kLost);
}

/** Guards against a late answer to an earlier request that is mistaken for the current answer. */
Test(http_client, answer_to_another_request_is_discarded)
{
  const std::string stale = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nxx";
  const std::string expected = "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 2\r\n\r\nab";
  for (const bool hasExpected : { true, false }) {
    Client client;
    client.Send(1, ExpectedEcho{ "Id", "new" });
    const auto server = client.AcceptRequest(1);
    server->Send(hasExpected ? stale + expected : stale);
    if (!hasExpected) {
      server->Close();
    }
    cr_assert(client.RunUntilResult());
    const HttpResult& result = client.results_[0];
    cr_expect(result.outcome_ ==
              (hasExpected ? ExchangeOutcome::kAnswered : ExchangeOutcome::kLost));
    cr_expect(!hasExpected || result.response_->body_ == "ab");
    client.Send(2);
    client.AcceptRequest(2);
  }
}

/** Guards against a refusal that a faulty server writes once more and that is taken for the answer
 * to the next request on the connection, which may be running. */
Test(http_client, repeated_refusal_without_an_id_is_not_the_next_answer)
{
  const std::string refusal = "HTTP/1.1 503 Busy\r\nRefused: 1\r\nContent-Length: 2\r\n\r\nab";
  const std::string named = "HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 2\r\n\r\nab";
  for (const bool isNamed : { true, false }) {
    Client client;
    client.Send(1, ExpectedEcho{ "Id", "one" });
    const auto server = client.AcceptRequest(1);
    server->Send(isNamed ? named : refusal);
    cr_assert(client.RunUntilResult());
    cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kAnswered, "the first of its kind");
    client.Send(2, ExpectedEcho{ "Id", "two" });
    cr_assert(client.RunUntil([&] { return server->Has("GET /2 "); }));
    server->Send(isNamed ? named : refusal);
    server->Close();
    cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
    cr_expect(client.results_[1].outcome_ == ExchangeOutcome::kLost);
  }
}

/** Guards against a second copy of an answer that arrives in two parts, before and after the next
 * request, in chunks or as long as the expected answer. */
Test(http_client, copy_in_two_parts_is_not_the_next_answer)
{
  const std::string copies[] = {
    "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nab",
    "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
  };
  const std::string expected = "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 2\r\n\r\ncd";
  for (const std::string& copy : copies) {
    for (std::size_t first = 0; first <= copy.size(); ++first) {
      Client client;
      client.Send(1, ExpectedEcho{ "Id", "one" });
      const auto server = client.AcceptRequest(1);
      server->Send(copy);
      cr_assert(client.RunUntilResult());
      server->Send(copy.substr(0, first));
      // The first part may be in the receive buffer of the client when the next request is sent.
      client.Send(2, ExpectedEcho{ "Id", "two" });
      server->Send(copy.substr(first) + expected);
      server->Close();
      cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
      const HttpResult& result = client.results_[1];
      cr_expect(result.outcome_ != ExchangeOutcome::kAnswered || result.response_->body_ == "cd",
                "%zu bytes before the request",
                first);
    }
  }
}

/** Guards against a second copy of a refusal that is taken for the answer to the second offer of
 * the same request: both carry its id, and the second offer may be running. */
Test(http_client, copy_of_a_refusal_is_not_the_answer_to_the_second_offer)
{
  const std::string refusal = "HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 2\r\n\r\nno";
  const std::string expected = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nab";
  // Other requests may have used the connection in between.
  for (const std::uint64_t others : { 0, 1, 5, 200 }) {
    Client client;
    client.Send(1, ExpectedEcho{ "Id", "one" });
    const auto first = client.AcceptRequest(1);
    first->Send(refusal);
    cr_assert(client.RunUntilResult());
    for (std::uint64_t token = 2; token < 2 + others; ++token) {
      const std::string id = std::to_string(token);
      client.Send(token, ExpectedEcho{ "Id", id });
      cr_assert(client.RunUntil([&] { return first->Has("GET /" + id + " "); }),
                "the connection still serves other requests");
      first->Send("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nab");
      cr_assert(client.RunUntil([&] { return client.results_.size() == token; }));
    }
    client.results_.clear();
    client.Send(1, ExpectedEcho{ "Id", "one" });
    first->Send(refusal);
    const auto second = client.AcceptRequest(1);
    second->Send(expected);
    cr_assert(client.RunUntilResult());
    cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kAnswered);
    cr_expect_eq(client.results_[0].response_->body_, "ab");
  }
}

/** Guards against a second offer that opens a connection although another one is idle, and against
 * the loss of the idle connections that it cannot use. */
Test(http_client, second_offer_uses_another_idle_connection)
{
  Client client;
  client.Send(1, ExpectedEcho{ "Id", "one" });
  client.Send(2, ExpectedEcho{ "Id", "two" });
  const auto first = client.AcceptRequest(1);
  const auto other = client.AcceptRequest(2);
  other->Send("HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 2\r\n\r\nab");
  cr_assert(client.RunUntilResult());
  first->Send("HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 2\r\n\r\nno");
  cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
  client.Send(1, ExpectedEcho{ "Id", "one" });
  cr_expect(client.RunUntil([&] { return other->Has("GET /1 "); }));
  client.Send(3, ExpectedEcho{ "Id", "three" });
  cr_expect(client.RunUntil([&] { return first->Has("GET /3 "); }));
}

/** Guards against ids that accumulate on a connection in constant use. */
Test(http_client, connection_is_replaced_after_its_last_request)
{
  Client client;
  client.Send(1, ExpectedEcho{ "Id", "1" });
  auto server = client.AcceptRequest(1);
  for (std::uint64_t token = 1; token <= kMaxRequestsPerConnection; ++token) {
    cr_assert(!server->IsClosed(), "request %lu", static_cast<unsigned long>(token));
    server->Send("HTTP/1.1 200 OK\r\nId: " + std::to_string(token) +
                 "\r\nContent-Length: 2\r\n\r\nab");
    cr_assert(client.RunUntil([&] { return client.results_.size() == token; }));
    if (token < kMaxRequestsPerConnection) {
      const std::string id = std::to_string(token + 1);
      client.Send(token + 1, ExpectedEcho{ "Id", id });
      cr_assert(client.RunUntil([&] { return server->Has("GET /" + id + " "); }));
    }
  }
  cr_expect(client.RunUntil([&] { return server->IsClosed(); }));
  client.Send(0, ExpectedEcho{ "Id", "next" });
  client.AcceptRequest(0);
}

/** Guards against a head that the server cut off and that counts as a complete, empty answer. */
Test(http_client, answer_cut_in_its_head_is_lost)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 12\r\n\r\n";
  const std::string unframed = "HTTP/1.1 200 OK\r\nId: one\r\nSignature: s\r\n\r\n";
  for (const std::string& answer : { head, unframed }) {
    for (std::size_t sent = 0; sent < answer.size(); ++sent) {
      Client client;
      client.Send(1, ExpectedEcho{ "Id", "one" });
      const auto server = client.AcceptRequest(1);
      server->Send(answer.substr(0, sent));
      server->Close();
      cr_assert(client.RunUntilResult());
      cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kLost, "%zu bytes", sent);
    }
  }
}

/** Guards against a request on another dead connection: after a call that got no answer in time,
 * idle connections to the server may be dead as well. */
Test(http_client, idle_connections_are_closed_after_an_unanswered_call)
{
  Client client;
  client.Send(1);
  client.Send(2);
  const auto silent = client.AcceptRequest(1);
  const auto idle = client.AcceptRequest(2);
  client.now_ += 9s;
  idle->Send(kCompleteAnswer);
  cr_assert(client.RunUntilResult());
  client.now_ += 1s;
  client.client_.Advance(client.now_);
  cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
  client.Send(3);
  client.AcceptRequest(3);
}

/** Nothing was sent, so the request may be sent elsewhere. */
Test(http_client, refused_connection_is_not_sent)
{
  Client client;
  client.listener_.close();
  client.Send(1);
  cr_assert(client.RunUntilResult());
  cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kNotSent);
}

Test(http_client, silent_server)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  client.client_.Advance(client.now_ + 10s - 1us);
  client.Settle();
  cr_assert(client.results_.empty());
  client.client_.Advance(client.now_ + 10s);
  cr_assert(client.RunUntilResult());
  cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kLost);
  cr_expect(client.RunUntil([&] { return server->IsClosed(); }));
}

/** A late answer to a cancelled request must not be returned for the next request. */
Test(http_client, cancelled_request)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  client.client_.Cancel(1);
  cr_assert(client.RunUntil([&] { return server->IsClosed(); }));
  client.Send(2);
  const auto next = client.AcceptRequest(2);
  next->Send(kCompleteAnswer);
  cr_assert(client.RunUntilResult());
  cr_expect_eq(client.results_[0].token_, 2U);
  cr_expect_eq(client.results_.size(), 1U);
}

/** An unsolicited answer would be mistaken for the answer to the next request. */
Test(http_client, bytes_on_an_idle_connection)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  server->Send(kCompleteAnswer);
  cr_assert(client.RunUntilResult());
  server->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nzz");
  cr_assert(client.RunUntil([&] { return server->IsClosed(); }));
  client.Send(2);
  client.AcceptRequest(2)->Send(kCompleteAnswer);
  cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
  cr_expect_eq(client.results_[1].response_->body_, "ab");
}

/** The server may be closing a connection that was idle for long; a request on it would be lost. */
Test(http_client, old_connection_is_not_used_again)
{
  Client client;
  client.Send(1);
  const auto server = client.AcceptRequest(1);
  server->Send(kCompleteAnswer);
  cr_assert(client.RunUntilResult());
  client.now_ += 3s;
  client.Send(2);
  client.AcceptRequest(2);
  client.client_.Advance(client.now_);
  cr_expect(client.RunUntil([&] { return server->IsClosed(); }));
}

Test(http_client, requests_at_once_use_a_connection_each)
{
  Client client;
  client.Send(1);
  client.Send(2);
  const auto first = client.AcceptRequest(1);
  const auto second = client.AcceptRequest(2);
  second->Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
  first->Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
  cr_assert(client.RunUntil([&] { return client.results_.size() == 2; }));
  for (const HttpResult& result : client.results_) {
    cr_expect_eq(result.response_->body_, std::to_string(result.token_));
  }
}

/** Guards against a server that sends bytes without end: they must neither take the memory of the
 * VM nor hold the request until its deadline. */
Test(http_client, bytes_without_end_end_the_request)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: one\r\n";
  const struct
  {
    const char* name_;
    std::string start_;
    std::string repeated_;
  } cases[] = {
    { "no line end", "HTTP/1.1 200 ", "x" },
    { "nothing of a head", "", "\x01\x02" },
    { "empty lines", "", "\r\n" },
    { "line ends without CR", head, "X: y\n" },
    { "header fields", head, "X: y\r\n" },
    { "one header field", head + "X: ", "y" },
    { "body without a length", head + "\r\n", "xyz" },
    { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" },
    { "chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "e" },
    { "trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "answers to another request",
      "",
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nab" },
  };
  constexpr std::size_t kBytesPerTurn = 2000;
  constexpr std::size_t kMaxBytes = kMaxBody + 2 * kMaxHeaderBytes + 2 * kBytesPerTurn;
  for (const auto& row : cases) {
    Client client;
    client.Send(1, ExpectedEcho{ "Id", "one" });
    const auto server = client.AcceptRequest(1);
    std::string text = row.start_;
    std::size_t sent = 0;
    while (client.results_.empty() && sent <= kMaxBytes) {
      while (text.size() < kBytesPerTurn) {
        text += row.repeated_;
      }
      server->Send(text);
      sent += text.size();
      text.clear();
      client.Settle();
      cr_assert_leq(client.client_.BufferedBytes(), kMaxBytes, "%s", row.name_);
    }
    cr_assert_eq(client.results_.size(), 1U, "%s: open after %zu bytes", row.name_, sent);
    cr_expect(client.results_[0].outcome_ == ExchangeOutcome::kLost, "%s", row.name_);
    cr_expect(client.RunUntil([&] { return server->IsClosed(); }), "%s", row.name_);
  }
}

/** Guards against incomplete answers without end that together take the memory of the VM, although
 * each is within its limit. */
Test(http_client, incomplete_answers_share_one_bound)
{
  constexpr std::uint64_t kConnections = 12;
  Client client;
  std::vector<std::unique_ptr<LoopbackPeer>> peers;
  for (std::uint64_t token = 1; token <= kConnections; ++token) {
    client.Send(token);
    peers.push_back(client.AcceptRequest(token));
    peers.back()->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(600, 'x'));
    client.Settle();
    cr_assert_leq(client.client_.BufferedBytes(), kMaxBuffered);
  }
  cr_assert(client.RunUntil([&] { return client.results_.size() >= kConnections - 4; }));
  std::set<std::uint64_t> dropped;
  for (const HttpResult& result : client.results_) {
    cr_expect(result.outcome_ == ExchangeOutcome::kLost, "the request may have been executed");
    dropped.insert(result.token_);
  }
  cr_assert_lt(dropped.size(), kConnections);
  for (std::uint64_t token = 1; token <= kConnections; ++token) {
    if (!dropped.contains(token)) {
      peers[token - 1]->Send(std::string(400, 'x'));
    }
  }
  cr_expect(client.RunUntil([&] { return client.results_.size() == kConnections; }));
  cr_expect(client.results_.back().outcome_ == ExchangeOutcome::kAnswered);
}
