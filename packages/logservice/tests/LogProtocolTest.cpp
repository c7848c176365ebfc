/** \file
 * Guards against misread responses of the log service: a lost or refused append that counts as
 * successful, records that are skipped, out of order or at a wrong offset, and responses that stop
 * the reader.
 */
#include "logservice/LogProtocol.h"

#include "wire/Frame.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

const ClusterKey kKey{ "0123456789abcdef" };

LogRecord
Announce(std::uint32_t aSequence)
{
  MemberRecord member;
  member.identity_.peerAddress_ = "10.0.0.1:7000";
  member.sequence_ = aSequence;
  return AnnounceRecord{ member };
}

/** Formats a record as in a read response. */
std::string
Line(std::uint64_t aOffset, const std::string& aBytes)
{
  return std::to_string(aOffset) + ' ' + std::to_string(aBytes.size()) + '\n' + aBytes + '\n';
}

std::string
Line(std::uint64_t aOffset)
{
  return Line(aOffset, EncodeLogRecord(kKey, Announce(static_cast<std::uint32_t>(aOffset))));
}

} // namespace

Test(log_protocol, requests_name_path_and_range)
{
  const LogRequest append = MakeAppendRequest(kKey, Announce(7));
  cr_assert_eq(append.method_, "POST");
  cr_assert_eq(append.uri_, "/append");
  cr_assert(DecodeLogRecord(kKey, append.body_) == Announce(7));
  const LogRequest read = MakeReadRequest(18446744073709551615U);
  cr_assert_eq(read.method_, "GET");
  cr_assert_eq(read.uri_, "/records?from=18446744073709551615&limit=500");
  cr_assert(read.body_.empty());
}

Test(log_protocol, append_answers)
{
  struct Case
  {
    const char* body_;
    std::optional<std::uint64_t> offset_;
  };
  // The bodies of refused and lost appends must not yield an offset.
  for (const Case& entry : { Case{ "{\"offset\":0}", 0 },
                             Case{ "{\"offset\":18446744073709551615}", 18446744073709551615U },
                             Case{ "{\"offset\":5,\"more\":1}", 5 },
                             Case{ "", {} },
                             Case{ "too many appends\n", {} },
                             Case{ "{\"offset\":", {} },
                             Case{ "{\"offset\":1", {} },
                             Case{ "{\"offset\":1,", {} },
                             Case{ "{\"offset\":}", {} },
                             Case{ "{\"offset\":-1}", {} },
                             Case{ "{\"offset\":1,000}", {} },
                             Case{ "{\"offset\":1.5}", {} },
                             Case{ "{\"offset\":\"1\"}", {} },
                             Case{ "{\"offset\":null}", {} },
                             Case{ "{\"offset\":18446744073709551616}", {} } }) {
    const auto offset = ParseAppendAnswer(entry.body_);
    cr_assert_eq(offset.has_value(), entry.offset_.has_value(), "%s", entry.body_);
    cr_assert(!offset || *offset == *entry.offset_, "%s", entry.body_);
  }
}

Test(log_protocol, read_answers)
{
  struct Case
  {
    const char* what_;
    std::string earliest_;
    std::string latest_;
    std::string body_;
    /** Offsets of the records; nullopt when the response is rejected. */
    std::optional<std::vector<std::uint64_t>> offsets_;
    std::uint64_t undecodable_ = 0;
  };
  using Offsets = std::vector<std::uint64_t>;
  const std::string damaged(40, '\n');
  const std::string huge = "9999999999999999999999 1\n";
  const Case cases[] = {
    { "empty log", "0", "0", "", Offsets{} },
    { "records in order", "0", "3", Line(0) + Line(1) + Line(2), Offsets{ 0, 1, 2 } },
    { "earlier records gone by retention", "5", "7", Line(5) + Line(6), Offsets{ 5, 6 } },
    { "a gap", "0", "9", Line(2) + Line(8), Offsets{ 2, 8 } },
    { "undecodable record", "0", "2", Line(0, damaged) + Line(1), Offsets{ 0, 1 }, 1 },
    { "empty record", "0", "1", Line(0, ""), Offsets{ 0 }, 1 },
    { "another key",
      "0",
      "1",
      Line(0, EncodeLogRecord({ "other" }, Announce(1))),
      Offsets{ 0 },
      1 },
    { "no earliest", "", "1", Line(0), {} },
    { "no latest", "0", "", Line(0), {} },
    { "earliest is no number", "x", "1", Line(0), {} },
    { "latest has a separator", "0", "1,000", Line(0), {} },
    { "descending", "0", "2", Line(1) + Line(0), {} },
    { "repeated", "0", "2", Line(1) + Line(1), {} },
    { "offset overflows", "0", "1", huge, {} },
    { "length beyond the answer", "0", "1", "0 5\nab\n", {} },
    { "length overflows", "0", "1", "0 18446744073709551615\nab\n", {} },
    { "length too short", "0", "1", "0 1\nab\n", {} },
    { "no length", "0", "1", "0\nab\n", {} },
    { "no line end", "0", "1", "0 2", {} },
    { "text", "0", "1", "service unavailable\n", {} },
    { "bytes after the last record", "0", "1", Line(0) + "x", {} },
    { "last offset of all", "0", "1", Line(18446744073709551615U) + Line(0), {} },
  };
  for (const Case& entry : cases) {
    const auto batch = ParseReadAnswer(kKey, entry.earliest_, entry.latest_, entry.body_);
    cr_assert_eq(batch.has_value(), entry.offsets_.has_value(), "%s", entry.what_);
    if (!batch) {
      continue;
    }
    cr_assert_eq(std::to_string(batch->earliest_), entry.earliest_);
    cr_assert_eq(std::to_string(batch->latest_), entry.latest_);
    Offsets offsets;
    std::uint64_t unreadable = 0;
    for (const OffsetRecord& record : batch->records_) {
      offsets.push_back(record.offset_);
      const bool readable = record.record_ == Announce(static_cast<std::uint32_t>(record.offset_));
      unreadable += readable ? 0 : 1;
      cr_assert(readable || std::holds_alternative<UnreadableRecord>(record.record_));
    }
    cr_assert(offsets == *entry.offsets_, "%s", entry.what_);
    cr_assert_eq(batch->undecodable_, entry.undecodable_, "%s", entry.what_);
    cr_assert_eq(unreadable, entry.undecodable_, "%s", entry.what_);
    cr_assert_eq(batch->next_, offsets.empty() ? 0 : offsets.back() + 1, "%s", entry.what_);
  }
}

Test(log_protocol, cut_read_answers_are_refused)
{
  const std::string whole = Line(3) + Line(4);
  const std::size_t first = Line(3).size();
  for (std::size_t length = 1; length < whole.size(); ++length) {
    const auto batch = ParseReadAnswer(kKey, "0", "5", whole.substr(0, length));
    cr_assert_eq(batch.has_value(), length == first, "%zu bytes", length);
  }
}

Test(log_protocol, arbitrary_answers_never_crash)
{
  cr_assert(rc::check("any bytes and any change", [](const std::string& aBytes) {
    (void)ParseAppendAnswer(aBytes);
    (void)ParseAppendAnswer("{\"offset\":" + aBytes);
    (void)ParseReadAnswer(kKey, aBytes, aBytes, aBytes);
    (void)ParseReadAnswer(kKey, "0", "1", "0 " + aBytes);
    std::string body = Line(0) + Line(1);
    body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
    const auto batch = ParseReadAnswer(kKey, "0", "2", body);
    RC_ASSERT((!batch || batch->records_.size() <= body.size()));
  }));
}
