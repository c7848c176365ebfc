#include "model/Store.h"

namespace fulmarway {

StoreTask
TaskOf(const StoreRequest& aRequest)
{
  if (std::holds_alternative<ListAnnouncements>(aRequest)) {
    return StoreTask::kListing;
  }
  return std::holds_alternative<WriteAnnouncement>(aRequest) ? StoreTask::kAnnouncement
                                                             : StoreTask::kConfiguration;
}

std::string_view
ToString(StoreTask aTask)
{
  switch (aTask) {
    case StoreTask::kConfiguration:
      return "configuration";
    case StoreTask::kListing:
      return "listing";
    case StoreTask::kAnnouncement:
      return "announcement";
  }
  return "unknown";
}

} // namespace fulmarway
