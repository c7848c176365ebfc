/** \file
 * Guards against HTTP input that crashes the decoder, takes far more memory than its size, decodes
 * differently when it arrives in parts, or reaches the backend server as a different request.
 */
#include "AllocationMeter.h"
#include "AnyValue.h"
#include "wire/HttpFraming.h"

#include <criterion/criterion.h>
#include <functional>
#include <rapidcheck.h>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

constexpr std::size_t kBodyLimitBytes = 1000;
/** Limit of allocated bytes per input byte; covers the buffers and the fields of POCO's head. */
constexpr std::size_t kMaxHeapBytesPerInputByte = 16;
constexpr std::size_t kMaxFixedHeapBytes = 16U << 10;

const std::string&
AnyWord(Random& aRandom)
{
  static const std::string kWords[] = { "\r\n",
                                        "\n",
                                        "\r",
                                        ":",
                                        " ",
                                        ";",
                                        ",",
                                        "0",
                                        "ffffffffffffffff",
                                        "\r\n\r\n",
                                        "=?utf-8?Q?a=0D=0AX:_1?=",
                                        "=?utf-8?B?YQpi?=",
                                        "Content-Length: 5\r\n",
                                        "Transfer-Encoding: chunked\r\n",
                                        "Content-Type: ",
                                        "Fulmarway-Ticket-For: a/b\r\n",
                                        "Fulmarway-Parent: 00000000000000ff\r\n" };
  return kWords[Below(aRandom, std::size(kWords))];
}

/** A valid request or response, or one with a few words inserted and bytes corrupted. */
std::string
AnyMessage(Random& aRandom, const std::string& aFirstLine)
{
  std::string text = aFirstLine + "\r\nHost: x\r\nContent-Type: text/plain\r\n" +
                     "Fulmarway-Deadline-Ms: 100\r\nFulmarway-Click: c-1\r\nFulmarway-Ticket: " +
                     FormatTicket(Any<Ticket>(aRandom)) + "\r\n";
  const std::string body = AnyBytes(aRandom, 40);
  if (Any<bool>(aRandom)) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  } else {
    text += "Transfer-Encoding: chunked\r\n\r\n";
    for (const char byte : body) {
      text += std::string("1\r\n") + byte + "\r\n";
    }
    text += "0\r\n\r\n";
  }
  for (std::size_t words = Below(aRandom, 4); words > 0; --words) {
    // Half of the words go to the start of a value, where they most often change the meaning.
    std::size_t at = Below(aRandom, text.size());
    const std::size_t value = text.find(": ", at);
    at = Any<bool>(aRandom) && value != std::string::npos ? value + 2 : at;
    text.insert(at, AnyWord(aRandom));
  }
  if (Below(aRandom, 3) == 0) {
    Corrupt(aRandom, text);
  }
  return text;
}

template<typename Head>
std::vector<std::pair<std::string, std::string>>
FieldsOf(const Head& aHead)
{
  return { aHead.begin(), aHead.end() };
}

/** Extracts a message from the whole text within the memory limit, then from the text in random
 * parts; both must give the same result. */
template<auto kExtract>
auto
ExtractWholeAndInParts(Random& aRandom, const std::string& aText)
{
  std::string whole = aText;
  const AllocationMeter meter;
  auto extracted = kExtract(whole, kBodyLimitBytes);
  RC_ASSERT(meter.PeakBytes() <= kMaxHeapBytesPerInputByte * aText.size() + kMaxFixedHeapBytes);

  std::string buffer;
  auto inParts = kExtract(buffer, kBodyLimitBytes);
  std::string_view rest = aText;
  while (inParts && !*inParts && !rest.empty()) {
    const std::size_t size = std::min(1 + Below(aRandom, 30), rest.size());
    buffer += rest.substr(0, size);
    rest.remove_prefix(size);
    inParts = kExtract(buffer, kBodyLimitBytes);
  }
  RC_ASSERT(inParts.has_value() == extracted.has_value());
  if (!extracted) {
    RC_ASSERT(inParts.error() == extracted.error());
    return extracted;
  }
  RC_ASSERT((*inParts).has_value() == (*extracted).has_value());
  if (*extracted) {
    RC_ASSERT((*inParts)->body_ == (*extracted)->body_);
    RC_ASSERT(FieldsOf((*inParts)->head_) == FieldsOf((*extracted)->head_));
    RC_ASSERT(buffer + std::string(rest) == whole);
    RC_ASSERT((*extracted)->body_.size() <= std::min(kBodyLimitBytes, aText.size()));
  }
  return extracted;
}

/** What a reader sees of one message on a connection. */
struct SeenMessage
{
  /** Status of an answer, method and target of a request. */
  std::string start_;
  std::string body_;

  bool operator==(const SeenMessage&) const = default;
};

/** Messages of one connection, and whether the reader gave up after them. */
struct SeenMessages
{
  std::vector<SeenMessage> messages_;
  bool isRefused_ = false;

  bool operator==(const SeenMessages&) const = default;
};

std::string
AnyChunks(Random& aRandom, std::string_view aBody)
{
  std::string text;
  while (!aBody.empty()) {
    const std::size_t size = std::min(1 + Below(aRandom, 9), aBody.size());
    text += std::to_string(size) + "\r\n" + std::string(aBody.substr(0, size)) + "\r\n";
    aBody.remove_prefix(size);
  }
  return text + "0\r\n\r\n";
}

/** Appends the rest of a message: length or transfer coding, and body. */
void
AppendBody(Random& aRandom, const std::string& aBody, std::string& aText)
{
  if (Any<bool>(aRandom)) {
    aText += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  } else {
    aText += "Transfer-Encoding: chunked\r\n\r\n" + AnyChunks(aRandom, aBody);
  }
}

/** Appends valid interim answers, then a final one, which is returned. */
SeenMessage
AppendAnyAnswer(Random& aRandom, std::string& aText)
{
  static const std::string kInterim[] = { "HTTP/1.1 100 Continue\r\n\r\n",
                                          "HTTP/1.1 102\r\n\r\n",
                                          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                                          "HTTP/1.0 199 \xff\r\nContent-Length: 0\r\n\r\n" };
  static const char* kStatuses[] = { "200", "201", "204", "299", "304",
                                     "404", "429", "500", "503", "599" };
  for (std::size_t count = Below(aRandom, 6); count > 0; --count) {
    aText += kInterim[Below(aRandom, std::size(kInterim))];
  }
  SeenMessage answer{ kStatuses[Below(aRandom, std::size(kStatuses))], AnyBytes(aRandom, 40) };
  aText += "HTTP/1.1 " + answer.start_ + " \xe4\r\nNumber: 1\r\n";
  if (answer.start_ == "204" || answer.start_ == "304") {
    answer.body_.clear();
    aText += Any<bool>(aRandom) ? "Content-Length: 500\r\n\r\n" : "\r\n";
  } else {
    AppendBody(aRandom, answer.body_, aText);
  }
  return answer;
}

/** Appends a valid request, which is returned. */
SeenMessage
AppendAnyRequest(Random& aRandom, std::string& aText)
{
  static const char* kStarts[] = { "GET /a", "HEAD /a?b=%20", "POST /a/b", "PUT *", "DELETE /" };
  SeenMessage request{ kStarts[Below(aRandom, std::size(kStarts))], {} };
  aText += request.start_ + (Any<bool>(aRandom) ? " HTTP/1.1\r\n" : " HTTP/1.0\r\n");
  aText += Any<bool>(aRandom) ? "Expect: 100-continue\r\n" : "Host: a\r\n";
  if (Any<bool>(aRandom)) {
    request.body_ = AnyBytes(aRandom, 40);
    AppendBody(aRandom, request.body_, aText);
  } else {
    aText += "Content-Length: 0\r\n\r\n";
  }
  return request;
}

SeenMessage
Seen(HttpResponseMessage aAnswer)
{
  return { std::to_string(aAnswer.head_.Status()), std::move(aAnswer.body_) };
}

SeenMessage
Seen(HttpRequestMessage aRequest)
{
  return { aRequest.head_.getMethod() + ' ' + aRequest.head_.getURI(), std::move(aRequest.body_) };
}

using NextSize = std::function<std::size_t()>;

/** Reads all messages of a text that arrives in parts of these sizes. */
template<typename Continue>
SeenMessages
ReadMessages(std::string_view aText, const NextSize& aNextSize, const Continue& aContinue)
{
  SeenMessages seen;
  std::string buffer;
  while (!aText.empty() && !seen.isRefused_) {
    const std::size_t size = std::min(aNextSize(), aText.size());
    buffer += aText.substr(0, size);
    aText.remove_prefix(size);
    auto read = aContinue(buffer);
    while (read && *read) {
      seen.messages_.push_back(Seen(std::move(**read)));
      read = aContinue(buffer);
    }
    seen.isRefused_ = !read;
  }
  return seen;
}

SeenMessages
ReadAnswers(std::string_view aText, const NextSize& aNextSize)
{
  ResponseProgress progress;
  return ReadMessages(aText, aNextSize, [&](std::string& aBuffer) {
    return ContinueHttpResponse(aBuffer, kBodyLimitBytes, progress);
  });
}

SeenMessages
ReadRequests(std::string_view aText, const NextSize& aNextSize)
{
  RequestProgress progress;
  return ReadMessages(aText, aNextSize, [&](std::string& aBuffer) {
    return ContinueHttpRequest(aBuffer, kMaxHeaderBytes, kBodyLimitBytes, progress);
  });
}

/** Reads a sequence of valid messages, then the same sequence with damage. Both must read the same
 * whole, byte by byte and in any parts. Returns the damaged one. */
template<auto kAppend, auto kRead>
SeenMessages
CheckSequence(Random& aRandom)
{
  std::string text;
  SeenMessages sent;
  for (std::size_t count = 1 + Below(aRandom, 4); count > 0; --count) {
    sent.messages_.push_back(kAppend(aRandom, text));
  }
  const auto whole = [&] { return text.size(); };
  const auto single = [] { return std::size_t{ 1 }; };
  const auto any = [&] { return 1 + Below(aRandom, 30); };
  RC_ASSERT(kRead(text, whole) == sent);
  RC_ASSERT(kRead(text, single) == sent);
  RC_ASSERT(kRead(text, any) == sent);

  if (Any<bool>(aRandom)) {
    text.insert(Below(aRandom, text.size()), AnyWord(aRandom));
  } else {
    Corrupt(aRandom, text);
  }
  const SeenMessages damaged = kRead(text, whole);
  RC_ASSERT(kRead(text, single) == damaged);
  RC_ASSERT(kRead(text, any) == damaged);
  return damaged;
}

/** The backend server must decode exactly the request that the node parsed. */
void
CheckBackendRequest(const CallerRequest& aRequest)
{
  BackendRequest sent;
  sent.request_.rootRequestId_ = aRequest.rootRequestId_.value_or("c");
  sent.request_.service_ = aRequest.service_;
  sent.request_.kind_ = aRequest.kind_;
  sent.request_.method_ = aRequest.method_;
  sent.request_.target_ = aRequest.target_;
  sent.request_.contentType_ = aRequest.contentType_;
  sent.request_.ticket_ = aRequest.ticket_;
  Poco::Net::HTTPRequest head;
  FormatBackendRequest(sent, head);
  std::string bytes = FormatHttp(head, aRequest.body_);
  const auto read = ExtractHttpRequest(bytes, kBodyLimitBytes);
  RC_ASSERT((read && *read));
  RC_ASSERT(bytes.empty());
  RC_ASSERT((*read)->body_ == aRequest.body_);
  RC_ASSERT((*read)->head_.getURI() == head.getURI());
  RC_ASSERT((*read)->head_.getMethod() == aRequest.method_);
  RC_ASSERT(FieldsOf((*read)->head_) == FieldsOf(head));
}

} // namespace

Test(http_fuzz, requests)
{
  cr_assert(rc::check("requests", [] {
    Random random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    const std::string text = AnyMessage(random, "POST /v1/call/a/b/rest?x=1 HTTP/1.1");
    auto extracted = ExtractWholeAndInParts<ExtractHttpRequest>(random, text);
    if (extracted && *extracted) {
      const auto request = ParseCallerRequest((*extracted)->head_, (*extracted)->body_);
      if (request) {
        CheckBackendRequest(*request);
      }
    }
    (void)ExtractWholeAndInParts<ExtractHttpRequest>(random, AnyBytes(random, 200) + "\r\n\r\n");
  }));
}

Test(http_fuzz, responses)
{
  cr_assert(rc::check("responses", [] {
    Random random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    const std::string text = AnyMessage(random, "HTTP/1.1 200 OK");
    const auto extracted = ExtractWholeAndInParts<ExtractHttpResponse>(random, text);
    if (extracted && *extracted) {
      (void)IsRefusedByBackend((*extracted)->head_);
    }
    (void)ExtractWholeAndInParts<ExtractHttpResponse>(random, AnyBytes(random, 200) + "\r\n\r\n");
  }));
}

/** Guards against a sequence of interim and final answers that means something else when it arrives
 * in other parts, and against an interim answer that is taken for a final one. */
Test(http_fuzz, sequences_of_answers)
{
  cr_assert(rc::check("sequences of answers", [] {
    Random random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    for (const SeenMessage& answer :
         CheckSequence<AppendAnyAnswer, ReadAnswers>(random).messages_) {
      RC_ASSERT(answer.start_.size() == 3U);
      RC_ASSERT(answer.start_ >= "200");
      RC_ASSERT(answer.start_ <= "599");
    }
  }));
}

/** Guards against requests sent ahead on one connection that mean something else when they arrive
 * in other parts. */
Test(http_fuzz, sequences_of_requests)
{
  cr_assert(rc::check("sequences of requests", [] {
    Random random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    (void)CheckSequence<AppendAnyRequest, ReadRequests>(random);
  }));
}

// Compares tickets by value, since a corrupted text may be a valid spelling (upper-case digits).
Test(http_fuzz, ticket_text)
{
  cr_assert(rc::check("damaged tickets", [] {
    Random random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
    std::string text = FormatTicket(Any<Ticket>(random));
    RC_ASSERT(FormatTicket(*ParseTicket(text)) == text);
    Corrupt(random, text);
    const AllocationMeter meter;
    const auto ticket = ParseTicket(text);
    RC_ASSERT(meter.PeakBytes() <= kMaxHeapBytesPerInputByte * text.size() + kMaxFixedHeapBytes);
    RC_ASSERT((!ticket || *ParseTicket(FormatTicket(*ticket)) == *ticket));
  }));
}
