/** \file
 * The answers that are kept for repeats of finished tickets, within a bound on their bytes.
 */
#pragma once

#include "model/Call.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace fulmarway {

/** Number of a remembered answer; kNoAnswer for none. Numbers are never reused. */
using AnswerNumber = std::uint64_t;
inline constexpr AnswerNumber kNoAnswer = 0;

/** An answer in one allocation, because a full table holds 65,536 of them. */
struct PackedAnswer
{
  std::uint16_t status_ = 0;
  std::uint32_t contentTypeBytes_ = 0;
  /** The content type, then the body. */
  std::string text_;

  bool operator==(const PackedAnswer&) const = default;
};

struct RememberedAnswers
{
  std::unordered_map<AnswerNumber, PackedAnswer> byNumber_;
  /** No answer with a lower number is left. */
  AnswerNumber oldest_ = 1;
  AnswerNumber next_ = 1;
  /** Bytes of all bodies and content types. */
  std::size_t bytes_ = 0;

  bool operator==(const RememberedAnswers&) const = default;
};

struct AnswerLimits
{
  std::size_t maxBytes_ = 0;
  std::size_t maxBodyBytes_ = 0;
};

/** Keeps aAnswer and drops the longest kept ones to stay within aLimits. Returns kNoAnswer when
 * aAnswer alone is too large. */
AnswerNumber
Remember(RememberedAnswers& aAnswers, const Answer& aAnswer, const AnswerLimits& aLimits);

/** nullopt when the answer is no longer kept. */
std::optional<Answer>
Recall(const RememberedAnswers& aAnswers, AnswerNumber aNumber);

/** Has no effect for an answer that is no longer kept. */
void
Forget(RememberedAnswers& aAnswers, AnswerNumber aNumber);

} // namespace fulmarway
