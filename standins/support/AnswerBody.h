/** \file
 * Bodies of backend servers that a caller can check for being whole and its own.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarway::standins {

/** What the body of one answer says about itself. */
struct AnswerStamp
{
  std::string clickId_;
  /** "service/kind". */
  std::string path_;
  /** Number of the execution on its backend server. */
  std::uint64_t sequence_ = 0;

  bool operator==(const AnswerStamp&) const = default;
};

enum class AnswerCheck : std::uint8_t
{
  kWhole,
  /** Shorter or longer than it says, or changed. */
  kDamaged,
  /** Whole, but the answer to another request. */
  kForeign,
};

/** A line with the stamp, the total length and a hash, then filler that depends on the stamp. The
 * body is at least as long as this line. */
std::string
MakeAnswerBody(const AnswerStamp& aStamp, std::size_t aBytes);

AnswerCheck
CheckAnswerBody(std::string_view aBody, std::string_view aClickId, std::string_view aPath);

} // namespace fulmarway::standins
