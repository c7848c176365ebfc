/** \file
 * What a node asks of the store in which configuration and announcements last, as typed values.
 */
#pragma once

#include "model/Config.h"
#include "model/Member.h"
#include "model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmarway {

/** Asks for the newest configuration. */
struct ReadConfiguration
{
  bool operator==(const ReadConfiguration&) const = default;
};

/** Asks for changes of the configuration from a position on; the store answers when there is one,
 * or after the wait. */
struct AwaitConfiguration
{
  std::uint64_t from_ = 0;
  Duration wait_{ 0 };

  bool operator==(const AwaitConfiguration&) const = default;
};

/** Asks for the announcements of all nodes, in pages. */
struct ListAnnouncements
{
  /** Key of the last announcement of the page before; empty for the first page. */
  std::string after_;

  bool operator==(const ListAnnouncements&) const = default;
};

/** Replaces the announcement of this node. */
struct WriteAnnouncement
{
  MemberRecord member_;

  bool operator==(const WriteAnnouncement&) const = default;
};

using StoreRequest =
  std::variant<ReadConfiguration, AwaitConfiguration, ListAnnouncements, WriteAnnouncement>;

/** Calls to the store; at most one of each kind is under way. */
enum class StoreTask : std::uint8_t
{
  kConfiguration,
  kListing,
  kAnnouncement,
};

StoreTask
TaskOf(const StoreRequest& aRequest);

std::string_view
ToString(StoreTask aTask);

/** Answers ReadConfiguration and AwaitConfiguration. */
struct ConfigurationRead
{
  /** nullopt when there is none, or none newer. */
  std::optional<Configuration> configuration_;
  /** Where to wait for the next change; nullopt when the position is gone from the store. */
  std::optional<std::uint64_t> next_;
  /** Records that could not be decoded; they change nothing. */
  std::uint32_t undecodable_ = 0;

  bool operator==(const ConfigurationRead&) const = default;
};

/** Answers ListAnnouncements. */
struct AnnouncementsListed
{
  std::vector<MemberRecord> members_;
  /** Key to continue after; nullopt on the last page. */
  std::optional<std::string> continueAfter_;
  std::uint32_t undecodable_ = 0;

  bool operator==(const AnnouncementsListed&) const = default;
};

/** Answers WriteAnnouncement. */
struct AnnouncementWritten
{
  bool operator==(const AnnouncementWritten&) const = default;
};

/** No answer, or one that says that nothing was done. */
struct StoreFailed
{
  std::string detail_;

  bool operator==(const StoreFailed&) const = default;
};

using StoreReply =
  std::variant<ConfigurationRead, AnnouncementsListed, AnnouncementWritten, StoreFailed>;

} // namespace fulmarway
