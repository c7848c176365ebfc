#include "support/AnswerBody.h"

#include "model/Ids.h"

#include <sstream>

namespace fulmarway::standins {

namespace {

constexpr std::string_view kMagic = "answer";

std::string
FormatStampLine(const AnswerStamp& aStamp, std::size_t aLength)
{
  std::ostringstream text;
  text << kMagic << ' ' << aStamp.rootRequestId_ << ' ' << aStamp.path_ << ' ' << aStamp.sequence_
       << ' ' << aLength << ' ';
  std::string stampLine = text.str();
  stampLine += ToHex(StableHash(stampLine)) + "\n";
  return stampLine;
}

void
AppendFiller(const AnswerStamp& aStamp, std::size_t aLength, std::string& aBody)
{
  const std::string unit = ToHex(StableHash(aStamp.rootRequestId_, aStamp.sequence_));
  while (aBody.size() < aLength) {
    aBody.append(unit, 0, aLength - aBody.size());
  }
}

/** The body is a function of the stamp and the length, so that a check can rebuild and compare it.
 */
std::string
FormatBody(const AnswerStamp& aStamp, std::size_t aLength)
{
  std::string body = FormatStampLine(aStamp, aLength);
  AppendFiller(aStamp, aLength, body);
  return body;
}

} // namespace

std::string
MakeAnswerBody(const AnswerStamp& aStamp, std::size_t aBytes)
{
  // The stamp line contains the total length, so a larger length can make the line itself longer.
  std::size_t length = aBytes;
  for (std::size_t stampLineLength = FormatStampLine(aStamp, length).size();
       stampLineLength > length;
       stampLineLength = FormatStampLine(aStamp, length).size()) {
    length = stampLineLength;
  }
  return FormatBody(aStamp, length);
}

AnswerCheck
CheckAnswerBody(std::string_view aBody, std::string_view aRootRequestId, std::string_view aPath)
{
  std::istringstream text{ std::string(aBody.substr(0, aBody.find('\n'))) };
  std::string magic;
  AnswerStamp stamp;
  std::size_t length = 0;
  text >> magic >> stamp.rootRequestId_ >> stamp.path_ >> stamp.sequence_ >> length;
  if (!text || magic != kMagic || length != aBody.size() || aBody != FormatBody(stamp, length)) {
    return AnswerCheck::kCorrupted;
  }
  return stamp.rootRequestId_ == aRootRequestId && stamp.path_ == aPath
           ? AnswerCheck::kComplete
           : AnswerCheck::kOtherRequest;
}

} // namespace fulmarway::standins
