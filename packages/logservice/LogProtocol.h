/** \file
 * Encodes requests to the log service and decodes its responses, independently of the transport. To
 * use a log service with another protocol, replace LogProtocol.h and LogProtocol.cpp.
 */
#pragma once

#include "model/Config.h"
#include "model/Error.h"
#include "model/Mac.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fulmarway {

/** An HTTP request without its transport. */
struct LogRequest
{
  std::string method_;
  std::string uri_;
  std::string body_;

  bool operator==(const LogRequest&) const = default;
};

/** Response to a read. A record that cannot be decoded is counted and becomes an UnreadableRecord.
 * If it failed the read, anyone who can append could stop all readers. */
struct LogBatch
{
  /** Offset of the earliest record that the log still retains. */
  std::uint64_t earliest_ = 0;
  /** Offset that the next append will get. */
  std::uint64_t latest_ = 0;
  std::vector<OffsetRecord> records_;
  /** Offset after the last record in the response, decoded or not; 0 without records. */
  std::uint64_t next_ = 0;
  std::uint64_t undecodable_ = 0;

  bool operator==(const LogBatch&) const = default;
};

inline constexpr std::uint32_t kMaxRecordsPerRead = 500;

LogRequest
MakeAppendRequest(const ClusterKey& aKey, const LogRecord& aRecord);

LogRequest
MakeReadRequest(std::uint64_t aFrom);

/** Returns the offset from the response body of a successful append. */
tl::expected<std::uint64_t, UserError>
ParseAppendResponse(std::string_view aBody);

/** aEarliest and aLatest are the values of the headers Fulmarway-Earliest and Fulmarway-Latest. */
tl::expected<LogBatch, UserError>
ParseReadResponse(const ClusterKey& aKey,
                  std::string_view aEarliest,
                  std::string_view aLatest,
                  std::string_view aBody);

} // namespace fulmarway
