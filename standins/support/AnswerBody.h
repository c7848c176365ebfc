/** \file
 * Self-describing answer bodies, with which a caller can verify that an answer is complete and
 * belongs to its request.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarway::standins {

/** Identifies the execution that produced an answer. */
struct AnswerStamp
{
  std::string rootRequestId_;
  /** "service/kind". */
  std::string path_;
  /** Sequence number of the execution on its backend server. */
  std::uint64_t sequence_ = 0;

  bool operator==(const AnswerStamp&) const = default;
};

enum class AnswerCheck : std::uint8_t
{
  kComplete,
  /** The length or the content differs from what the stamp prescribes. */
  kCorrupted,
  /** Complete, but the answer to another request. */
  kOtherRequest,
};

/** Returns a line with the stamp, the total length and a hash, followed by filler derived from the
 * stamp up to aBytes in total. The body is longer than aBytes when the line alone is. */
std::string
MakeAnswerBody(const AnswerStamp& aStamp, std::size_t aBytes);

AnswerCheck
CheckAnswerBody(std::string_view aBody, std::string_view aRootRequestId, std::string_view aPath);

} // namespace fulmarway::standins
