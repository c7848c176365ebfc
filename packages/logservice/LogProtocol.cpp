#include "logservice/LogProtocol.h"

#include "model/Number.h"
#include "wire/Frame.h"

#include <limits>
#include <optional>

namespace fulmarway {

namespace {

constexpr std::uint64_t kMaxOffset = std::numeric_limits<std::uint64_t>::max();

/** A record in a read response: "OFFSET LENGTH\n", the bytes, "\n". */
struct RawRecord
{
  std::uint64_t offset_ = 0;
  std::string_view bytes_;
};

/** Removes the first record from aBody; nullopt when it is malformed. */
std::optional<RawRecord>
ExtractRecord(std::string_view& aBody)
{
  const std::size_t space = aBody.find(' ');
  const std::size_t lineEnd = aBody.find('\n');
  if (space == std::string_view::npos || lineEnd == std::string_view::npos || space > lineEnd) {
    return std::nullopt;
  }
  const auto offset = ParseNumber(aBody.substr(0, space));
  const auto length = ParseNumber(aBody.substr(space + 1, lineEnd - space - 1));
  aBody.remove_prefix(lineEnd + 1);
  if (!offset || !length || *length >= aBody.size() || aBody[*length] != '\n') {
    return std::nullopt;
  }
  const RawRecord record{ *offset, aBody.substr(0, *length) };
  aBody.remove_prefix(*length + 1);
  return record;
}

} // namespace

LogRequest
MakeAppendRequest(const ClusterKey& aKey, const LogRecord& aRecord)
{
  return { "POST", "/append", EncodeLogRecord(aKey, aRecord) };
}

LogRequest
MakeReadRequest(std::uint64_t aFrom)
{
  return { "GET",
           "/records?from=" + std::to_string(aFrom) +
             "&limit=" + std::to_string(kMaxRecordsPerRead),
           "" };
}

tl::expected<std::uint64_t, UserError>
ParseAppendResponse(std::string_view aBody)
{
  constexpr std::string_view kField = "\"offset\":";
  const std::size_t start = aBody.find(kField);
  if (start == std::string_view::npos) {
    return tl::unexpected(UserError{ "append response", "has no offset" });
  }
  aBody.remove_prefix(start + kField.size());
  // A truncated body may have lost digits: the end of the object or the name of the next member
  // must follow the number.
  const std::size_t end = aBody.find_first_of(",}");
  const std::size_t next = aBody.find_first_not_of(" ,", end);
  const bool isComplete =
    next != std::string_view::npos && (aBody[next] == '}' || aBody[next] == '"');
  const auto offset = isComplete ? ParseNumber(aBody.substr(0, end)) : std::nullopt;
  if (!offset) {
    return tl::unexpected(UserError{ "append response", "offset is truncated or not an integer" });
  }
  return *offset;
}

tl::expected<LogBatch, UserError>
ParseReadResponse(const ClusterKey& aKey,
                  std::string_view aEarliest,
                  std::string_view aLatest,
                  std::string_view aBody)
{
  const auto earliest = ParseNumber(aEarliest);
  const auto latest = ParseNumber(aLatest);
  if (!earliest || !latest) {
    return tl::unexpected(UserError{ "read response", "has no valid earliest and latest offsets" });
  }
  LogBatch batch{ *earliest, *latest, {}, 0, 0 };
  while (!aBody.empty()) {
    const auto raw = ExtractRecord(aBody);
    // batch.next_ would wrap around to 0 after kMaxOffset.
    if (!raw || raw->offset_ < batch.next_ || raw->offset_ == kMaxOffset) {
      return tl::unexpected(
        UserError{ "read response", "malformed record or record offsets out of order" });
    }
    batch.next_ = raw->offset_ + 1;
    auto record = DecodeLogRecord(aKey, raw->bytes_);
    batch.undecodable_ += record ? 0 : 1;
    batch.records_.push_back(
      { raw->offset_, record ? std::move(*record) : LogRecord{ UnreadableRecord{} } });
  }
  return batch;
}

} // namespace fulmarway
