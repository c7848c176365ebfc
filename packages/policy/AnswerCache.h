/** \file
 * A cache of answers, bounded by total size, from which ticket retries of a finished request are
 * answered. The oldest answer is evicted first.
 */
#pragma once

#include "model/Call.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace fulmarway {

/** Identifies a cached answer; kNoAnswer for none. Values ascend and are never reused. */
using AnswerNumber = std::uint64_t;
inline constexpr AnswerNumber kNoAnswer = 0;

/** An answer in a single allocation, because a full table holds 65,536 of them. */
struct PackedAnswer
{
  std::uint16_t status_ = 0;
  std::uint32_t contentTypeBytes_ = 0;
  /** The content type followed by the body. */
  std::string text_;

  bool operator==(const PackedAnswer&) const = default;
};

struct AnswerCache
{
  std::unordered_map<AnswerNumber, PackedAnswer> byNumber_;
  /** Every answer with a lower number has been removed. */
  AnswerNumber oldest_ = 1;
  AnswerNumber next_ = 1;
  /** Total size of all bodies and content types. */
  std::size_t bytes_ = 0;

  bool operator==(const AnswerCache&) const = default;
};

struct AnswerCacheLimits
{
  std::size_t maxBytes_ = 0;
  std::size_t maxBodyBytes_ = 0;
};

/** Adds aAnswer and evicts the oldest answers to stay within aLimits. Returns kNoAnswer, and evicts
 * nothing, if aAnswer alone exceeds a limit. */
AnswerNumber
CacheAnswer(AnswerCache& aCache, const Answer& aAnswer, const AnswerCacheLimits& aLimits);

/** Returns nullopt if the answer is not cached. */
std::optional<Answer>
FindCachedAnswer(const AnswerCache& aCache, AnswerNumber aNumber);

/** Removes an answer; has no effect if it is not cached. */
void
RemoveCachedAnswer(AnswerCache& aCache, AnswerNumber aNumber);

} // namespace fulmarway
