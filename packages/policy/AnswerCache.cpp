#include "policy/AnswerCache.h"

namespace fulmarway {

AnswerNumber
CacheAnswer(AnswerCache& aCache, const Answer& aAnswer, const AnswerCacheLimits& aLimits)
{
  const std::size_t bytes = aAnswer.contentType_.size() + aAnswer.body_.size();
  if (aAnswer.body_.size() > aLimits.maxBodyBytes_ || bytes > aLimits.maxBytes_) {
    return kNoAnswer;
  }
  while (aCache.bytes_ + bytes > aLimits.maxBytes_) {
    RemoveCachedAnswer(aCache, aCache.oldest_++);
  }
  PackedAnswer packed{ aAnswer.status_,
                       static_cast<std::uint32_t>(aAnswer.contentType_.size()),
                       {} };
  packed.text_.reserve(bytes);
  packed.text_ += aAnswer.contentType_;
  packed.text_ += aAnswer.body_;
  const AnswerNumber number = aCache.next_++;
  aCache.byNumber_.emplace(number, std::move(packed));
  aCache.bytes_ += bytes;
  return number;
}

std::optional<Answer>
FindCachedAnswer(const AnswerCache& aCache, AnswerNumber aNumber)
{
  const auto found = aCache.byNumber_.find(aNumber);
  if (found == aCache.byNumber_.end()) {
    return std::nullopt;
  }
  const PackedAnswer& packed = found->second;
  return Answer{ packed.status_,
                 packed.text_.substr(0, packed.contentTypeBytes_),
                 packed.text_.substr(packed.contentTypeBytes_) };
}

void
RemoveCachedAnswer(AnswerCache& aCache, AnswerNumber aNumber)
{
  const auto found = aCache.byNumber_.find(aNumber);
  if (found != aCache.byNumber_.end()) {
    aCache.bytes_ -= found->second.text_.size();
    aCache.byNumber_.erase(found);
  }
}

} // namespace fulmarway
