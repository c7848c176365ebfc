#include "policy/RememberedAnswers.h"

namespace fulmarway {

AnswerNumber
Remember(RememberedAnswers& aAnswers, const Answer& aAnswer, const AnswerLimits& aLimits)
{
  const std::size_t bytes = aAnswer.contentType_.size() + aAnswer.body_.size();
  if (aAnswer.body_.size() > aLimits.maxBodyBytes_ || bytes > aLimits.maxBytes_) {
    return kNoAnswer;
  }
  while (aAnswers.bytes_ + bytes > aLimits.maxBytes_) {
    Forget(aAnswers, aAnswers.oldest_++);
  }
  PackedAnswer packed{ aAnswer.status_,
                       static_cast<std::uint32_t>(aAnswer.contentType_.size()),
                       {} };
  packed.text_.reserve(bytes);
  packed.text_ += aAnswer.contentType_;
  packed.text_ += aAnswer.body_;
  const AnswerNumber number = aAnswers.next_++;
  aAnswers.byNumber_.emplace(number, std::move(packed));
  aAnswers.bytes_ += bytes;
  return number;
}

std::optional<Answer>
Recall(const RememberedAnswers& aAnswers, AnswerNumber aNumber)
{
  const auto found = aAnswers.byNumber_.find(aNumber);
  if (found == aAnswers.byNumber_.end()) {
    return std::nullopt;
  }
  const PackedAnswer& packed = found->second;
  return Answer{ packed.status_,
                 packed.text_.substr(0, packed.contentTypeBytes_),
                 packed.text_.substr(packed.contentTypeBytes_) };
}

void
Forget(RememberedAnswers& aAnswers, AnswerNumber aNumber)
{
  const auto found = aAnswers.byNumber_.find(aNumber);
  if (found != aAnswers.byNumber_.end()) {
    aAnswers.bytes_ -= found->second.text_.size();
    aAnswers.byNumber_.erase(found);
  }
}

} // namespace fulmarway
