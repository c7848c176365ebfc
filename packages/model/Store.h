/** \file
 * Typed requests to the store, which persists the configuration and the announcements, and its
 * replies. An announcement is the MemberRecord that each node writes so that nodes find each other.
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

/** Requests the latest configuration, which the store lists among other records of its topic. */
struct ReadConfiguration
{
  /** Key of the last record of the previous page; empty for the first page. */
  std::string after_;
  /** Position of the first page. Changes from it on may be missing in the later pages. */
  std::optional<std::uint64_t> next_;
  /** Pages read before this one. */
  std::uint32_t pagesBefore_ = 0;

  bool operator==(const ReadConfiguration&) const = default;
};

/** Long poll for configuration changes. The store replies when there is a change, or after the
 * wait. */
struct AwaitConfiguration
{
  /** Position of the first change to return, in the store's sequence of changes; taken from
   * ConfigurationRead::next_. */
  std::uint64_t from_ = 0;
  Duration wait_{ 0 };

  bool operator==(const AwaitConfiguration&) const = default;
};

/** Requests one page of the announcements of all nodes. */
struct ListAnnouncements
{
  /** Key of the last announcement of the previous page; empty for the first page. */
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

/** Type of a call to the store; at most one call of each type is in flight. */
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

/** What a reply says of the newest record of the configuration. */
enum class NewestRecord : std::uint8_t
{
  /** The reply has no record of the configuration. */
  kNotIncluded,
  kDecoded,
  kUndecodable,
};

/** Reply to ReadConfiguration and AwaitConfiguration. */
struct ConfigurationRead
{
  /** nullopt when the store has no configuration, or no newer one. */
  std::optional<Configuration> configuration_;
  /** Position for the next AwaitConfiguration; nullopt when the store no longer has the requested
   * position, so that ReadConfiguration must be sent next. */
  std::optional<std::uint64_t> next_;
  /** Number of records that could not be decoded and were skipped. */
  std::uint32_t undecodable_ = 0;
  /** The request for the next page, when this one lacks the configuration and there are more. */
  std::optional<ReadConfiguration> continue_;
  NewestRecord newest_ = NewestRecord::kNotIncluded;
  /** Whether the store has nothing newer than what the reply contains and what was read before. */
  bool reachesEnd_ = false;

  bool operator==(const ConfigurationRead&) const = default;
};

/** Reply to ListAnnouncements. */
struct AnnouncementsListed
{
  std::vector<MemberRecord> members_;
  /** ListAnnouncements::after_ for the next page; nullopt on the last page. */
  std::optional<std::string> continueAfter_;
  std::uint32_t undecodable_ = 0;

  bool operator==(const AnnouncementsListed&) const = default;
};

/** Reply to WriteAnnouncement. */
struct AnnouncementWritten
{
  bool operator==(const AnnouncementWritten&) const = default;
};

/** The store did not reply, or replied that it did not carry out the request. */
struct StoreFailed
{
  std::string detail_;

  bool operator==(const StoreFailed&) const = default;
};

using StoreReply =
  std::variant<ConfigurationRead, AnnouncementsListed, AnnouncementWritten, StoreFailed>;

} // namespace fulmarway
