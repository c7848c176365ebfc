/** \file
 * Storage of the simulated log service: an append-only sequence of records in memory with limited
 * retention and a limited append rate.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace fulmarway {

struct LogStoreSettings
{
  std::chrono::milliseconds retention_ = std::chrono::hours(1);
  std::uint32_t appendsPerSecond_ = 400;
};

struct StoredRecord
{
  std::uint64_t offset_ = 0;
  std::string bytes_;
};

/** `earliest_` is the offset of the oldest retained record, `latest_` that of the next append; they
 * are equal when the store is empty. */
struct LogOffsets
{
  std::uint64_t earliest_ = 0;
  std::uint64_t latest_ = 0;
};

struct LogPage
{
  LogOffsets offsets_;
  std::vector<StoredRecord> records_;
};

/** Not thread-safe. Reads no clock: the caller passes the current time. */
class LogStore
{
public:
  using Clock = std::chrono::steady_clock;

  explicit LogStore(const LogStoreSettings& aSettings);

  /** Returns the offset of the record; nullopt when the append rate is exceeded. */
  std::optional<std::uint64_t> Append(std::string aBytes, Clock::time_point aNow);

  /** Returns records starting at aFrom, or at the oldest retained one if it is later. Ends the page
   * at aLimit records or with the record that reaches kMaxPageBytes, so that a large record is
   * still returned. */
  LogPage Read(std::uint64_t aFrom, std::size_t aLimit, Clock::time_point aNow);

  LogOffsets Offsets(Clock::time_point aNow);

  static constexpr std::size_t kMaxPageBytes = 8U << 20;

private:
  struct Entry
  {
    Clock::time_point appendedAt_;
    std::string bytes_;
  };

  void Expire(Clock::time_point aNow);

  LogStoreSettings settings_;
  std::uint64_t earliest_ = 0;
  std::deque<Entry> entries_;
  /** Times of the appends within the last second, oldest first. */
  std::deque<Clock::time_point> recentAppends_;
};

} // namespace fulmarway
