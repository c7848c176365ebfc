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
MakeAnnouncement(std::uint32_t aSequence)
{
  MemberRecord member;
  member.identity_.peerAddress_ = "10.0.0.1:7000";
  member.sequence_ = aSequence;
  return AnnouncementRecord{ member };
}

/** Formats a record as in a read response. */
std::string
FormatRecord(std::uint64_t aOffset, const std::string& aBytes)
{
  return std::to_string(aOffset) + ' ' + std::to_string(aBytes.size()) + '\n' + aBytes + '\n';
}

std::string
FormatRecord(std::uint64_t aOffset)
{
  return FormatRecord(aOffset,
                      EncodeLogRecord(kKey, MakeAnnouncement(static_cast<std::uint32_t>(aOffset))));
}

} // namespace

Test(log_protocol, requests_name_path_and_range)
{
  const LogRequest append = MakeAppendRequest(kKey, MakeAnnouncement(7));
  cr_assert_eq(append.method_, "POST");
  cr_assert_eq(append.uri_, "/append");
  cr_assert(DecodeLogRecord(kKey, append.body_) == MakeAnnouncement(7));
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
    const auto offset = ParseAppendResponse(entry.body_);
    cr_assert_eq(offset.has_value(), entry.offset_.has_value(), "%s", entry.body_);
    cr_assert(!offset || *offset == *entry.offset_, "%s", entry.body_);
  }
}

Test(log_protocol, read_answers)
{
  struct Case
  {
    const char* name_;
    std::string earliest_;
    /** Offset that the next append will get: the one after the last record of the log. */
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
    { "records in order",
      "0",
      "3",
      FormatRecord(0) + FormatRecord(1) + FormatRecord(2),
      Offsets{ 0, 1, 2 } },
    { "earlier records gone by retention",
      "5",
      "7",
      FormatRecord(5) + FormatRecord(6),
      Offsets{ 5, 6 } },
    // Offsets must ascend, but need not be consecutive: ApplyRecord() accepts any later one.
    { "a gap", "0", "9", FormatRecord(2) + FormatRecord(8), Offsets{ 2, 8 } },
    { "undecodable record",
      "0",
      "2",
      FormatRecord(0, damaged) + FormatRecord(1),
      Offsets{ 0, 1 },
      1 },
    { "empty record", "0", "1", FormatRecord(0, ""), Offsets{ 0 }, 1 },
    { "another key",
      "0",
      "1",
      FormatRecord(0, EncodeLogRecord({ "other" }, MakeAnnouncement(1))),
      Offsets{ 0 },
      1 },
    { "no earliest", "", "1", FormatRecord(0), {} },
    { "no latest", "0", "", FormatRecord(0), {} },
    { "earliest is no number", "x", "1", FormatRecord(0), {} },
    { "latest has a separator", "0", "1,000", FormatRecord(0), {} },
    { "descending", "0", "2", FormatRecord(1) + FormatRecord(0), {} },
    { "repeated", "0", "2", FormatRecord(1) + FormatRecord(1), {} },
    { "offset overflows", "0", "1", huge, {} },
    { "length beyond the answer", "0", "1", "0 5\nab\n", {} },
    { "length overflows", "0", "1", "0 18446744073709551615\nab\n", {} },
    { "length too short", "0", "1", "0 1\nab\n", {} },
    { "no length", "0", "1", "0\nab\n", {} },
    { "no line end", "0", "1", "0 2", {} },
    { "text", "0", "1", "service unavailable\n", {} },
    { "bytes after the last record", "0", "1", FormatRecord(0) + "x", {} },
    { "last offset of all", "0", "1", FormatRecord(18446744073709551615U) + FormatRecord(0), {} },
  };
  for (const Case& entry : cases) {
    const auto batch = ParseReadResponse(kKey, entry.earliest_, entry.latest_, entry.body_);
    cr_assert_eq(batch.has_value(), entry.offsets_.has_value(), "%s", entry.name_);
    if (!batch) {
      continue;
    }
    cr_assert_eq(std::to_string(batch->earliest_), entry.earliest_);
    cr_assert_eq(std::to_string(batch->latest_), entry.latest_);
    Offsets offsets;
    std::uint64_t unreadable = 0;
    for (const OffsetRecord& record : batch->records_) {
      offsets.push_back(record.offset_);
      const bool readable =
        record.record_ == MakeAnnouncement(static_cast<std::uint32_t>(record.offset_));
      unreadable += readable ? 0 : 1;
      cr_assert(readable || std::holds_alternative<UnreadableRecord>(record.record_));
    }
    cr_assert(offsets == *entry.offsets_, "%s", entry.name_);
    cr_assert_eq(batch->undecodable_, entry.undecodable_, "%s", entry.name_);
    cr_assert_eq(unreadable, entry.undecodable_, "%s", entry.name_);
    // 0 stands for a batch without records.
    cr_assert_eq(batch->next_, offsets.empty() ? 0 : offsets.back() + 1, "%s", entry.name_);
  }
}

Test(log_protocol, cut_read_answers_are_refused)
{
  const std::string whole = FormatRecord(3) + FormatRecord(4);
  const std::size_t first = FormatRecord(3).size();
  for (std::size_t length = 1; length < whole.size(); ++length) {
    const auto batch = ParseReadResponse(kKey, "0", "5", whole.substr(0, length));
    cr_assert_eq(batch.has_value(), length == first, "%zu bytes", length);
  }
}

Test(log_protocol, arbitrary_answers_never_crash)
{
  cr_assert(rc::check("any bytes and any change", [](const std::string& aBytes) {
    (void)ParseAppendResponse(aBytes);
    (void)ParseAppendResponse("{\"offset\":" + aBytes);
    (void)ParseReadResponse(kKey, aBytes, aBytes, aBytes);
    (void)ParseReadResponse(kKey, "0", "1", "0 " + aBytes);
    std::string body = FormatRecord(0) + FormatRecord(1);
    body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
    const auto batch = ParseReadResponse(kKey, "0", "2", body);
    RC_ASSERT((!batch || batch->records_.size() <= body.size()));
  }));
}
