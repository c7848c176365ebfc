#include "support/AnswerBody.h"

#include "model/Ids.h"

#include <sstream>

namespace fulmarway::standins {

namespace {

constexpr std::string_view kMagic = "answer";

std::string
HeadOf(const AnswerStamp& aStamp, std::size_t aLength)
{
  std::ostringstream text;
  text << kMagic << ' ' << aStamp.clickId_ << ' ' << aStamp.path_ << ' ' << aStamp.sequence_ << ' '
       << aLength << ' ';
  std::string head = text.str();
  head += ToHex(StableHash(head)) + "\n";
  return head;
}

void
AppendFiller(const AnswerStamp& aStamp, std::size_t aLength, std::string& aBody)
{
  const std::string unit = ToHex(StableHash(aStamp.clickId_, aStamp.sequence_));
  while (aBody.size() < aLength) {
    aBody.append(unit, 0, aLength - aBody.size());
  }
}

/** The body is a function of the stamp and the length, so that a check can rebuild and compare it.
 */
std::string
BodyOf(const AnswerStamp& aStamp, std::size_t aLength)
{
  std::string body = HeadOf(aStamp, aLength);
  AppendFiller(aStamp, aLength, body);
  return body;
}

} // namespace

std::string
MakeAnswerBody(const AnswerStamp& aStamp, std::size_t aBytes)
{
  // The head contains the total length, so a longer length can make the head itself longer.
  std::size_t length = aBytes;
  for (std::size_t head = HeadOf(aStamp, length).size(); head > length;
       head = HeadOf(aStamp, length).size()) {
    length = head;
  }
  return BodyOf(aStamp, length);
}

AnswerCheck
CheckAnswerBody(std::string_view aBody, std::string_view aClickId, std::string_view aPath)
{
  std::istringstream text{ std::string(aBody.substr(0, aBody.find('\n'))) };
  std::string magic;
  AnswerStamp stamp;
  std::size_t length = 0;
  text >> magic >> stamp.clickId_ >> stamp.path_ >> stamp.sequence_ >> length;
  if (!text || magic != kMagic || length != aBody.size() || aBody != BodyOf(stamp, length)) {
    return AnswerCheck::kDamaged;
  }
  return stamp.clickId_ == aClickId && stamp.path_ == aPath ? AnswerCheck::kWhole
                                                            : AnswerCheck::kForeign;
}

} // namespace fulmarway::standins
