/** \file
 * A cereal input archive for untrusted bytes. It rejects container sizes larger than the remaining
 * input and allocates elements only as they are read, so that a corrupt message cannot cause a
 * large allocation. It accepts canonical encodings only: the bytes that the output archive writes
 * for a value.
 */
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <map>
#include <set>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace fulmarway {

static_assert(std::endian::native == std::endian::little, "messages are little-endian");

/** Reads the format of cereal::BinaryOutputArchive. Throws cereal::Exception on corrupt input. */
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aInput)
    : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
    , input_(aInput)
  {
  }

  /** Reads raw bytes; all load functions of this archive end here. */
  void LoadBytes(void* aData, std::size_t aSize)
  {
    if (aSize > input_.size()) {
      throw cereal::Exception("message is truncated");
    }
    std::memcpy(aData, input_.data(), aSize);
    input_.remove_prefix(aSize);
  }

  /** Bytes that have not been read yet. */
  std::size_t RemainingBytes() const { return input_.size(); }

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
    if (byte > 1) {
      throw cereal::Exception("boolean is neither 0 nor 1");
    }
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
  if (aTag.size > aArchive.RemainingBytes()) {
    throw cereal::Exception("container is larger than the message");
  }
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.LoadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

/** Appends element by element. cereal's own function allocates the declared number of elements at
 * once; an element may be hundreds of times larger than the one byte of input that the check of
 * SizeTag requires for it. */
template<class T, class A>
std::enable_if_t<!std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, std::vector<T, A>& aVector)
{
  cereal::size_type size = 0;
  aArchive(cereal::make_size_tag(size));
  aVector.clear();
  for (; size > 0; --size) {
    aArchive(aVector.emplace_back());
  }
}

/** Rejects keys that are not in ascending order, so that each state has exactly one encoding. */
template<class T, class C, class A>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, std::set<T, C, A>& aSet)
{
  cereal::size_type size = 0;
  aArchive(cereal::make_size_tag(size));
  aSet.clear();
  for (; size > 0; --size) {
    T key;
    aArchive(key);
    if (!aSet.empty() && !aSet.key_comp()(*aSet.rbegin(), key)) {
      throw cereal::Exception("keys are not in ascending order");
    }
    aSet.insert(aSet.end(), std::move(key));
  }
}

template<class K, class T, class C, class A>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, std::map<K, T, C, A>& aMap)
{
  cereal::size_type size = 0;
  aArchive(cereal::make_size_tag(size));
  aMap.clear();
  for (; size > 0; --size) {
    K key;
    T value;
    aArchive(key, value);
    if (!aMap.empty() && !aMap.key_comp()(aMap.rbegin()->first, key)) {
      throw cereal::Exception("keys are not in ascending order");
    }
    aMap.emplace_hint(aMap.end(), std::move(key), std::move(value));
  }
}

} // namespace fulmarway
