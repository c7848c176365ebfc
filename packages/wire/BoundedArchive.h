/** \file
 * A cereal input archive over a byte range that rejects container sizes larger than the input, so
 * that a damaged message cannot cause a large allocation.
 */
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace fulmarway {

static_assert(std::endian::native == std::endian::little, "messages are little-endian");

/** Reads what cereal::BinaryOutputArchive wrote. Throws cereal::Exception on damaged input. */
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aInput)
    : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
    , input_(aInput)
  {
  }

  // Called by cereal for all raw data.
  void LoadBytes(void* aData, std::size_t aSize)
  {
    if (aSize > input_.size()) {
      throw cereal::Exception("message ends early");
    }
    std::memcpy(aData, input_.data(), aSize);
    input_.remove_prefix(aSize);
  }

  /** Bytes that have not been read yet. */
  std::size_t Remaining() const { return input_.size(); }

private:
  std::string_view input_;
};

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    aArchive.LoadBytes(&byte, sizeof byte);
    aValue = byte != 0;
  } else {
    aArchive.LoadBytes(std::addressof(aValue), sizeof aValue);
  }
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::SizeTag<T>& aTag)
{
  aArchive(aTag.size);
  if (aTag.size > aArchive.Remaining()) {
    throw cereal::Exception("container is larger than the message");
  }
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.LoadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

} // namespace fulmarway
