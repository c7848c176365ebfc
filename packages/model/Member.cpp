#include "model/Member.h"

#include <tuple>

namespace fulmarway {

std::string_view
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

bool
Supersedes(const MemberRecord& aLeft, const MemberRecord& aRight)
{
  return std::tuple(aLeft.identity_.generation_, aLeft.sequence_, aLeft.state_) >
         std::tuple(aRight.identity_.generation_, aRight.sequence_, aRight.state_);
}

} // namespace fulmarway
