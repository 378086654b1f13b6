#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace guavabay {

/// Writes values as little-endian binary data for cereal.
class bounded_output_archive
    : public cereal::OutputArchive<bounded_output_archive, cereal::AllowEmptyClassElision> {
public:
    /// Appends everything to a string.
    explicit bounded_output_archive(std::string& bytes)
        : cereal::OutputArchive<bounded_output_archive, cereal::AllowEmptyClassElision>(this),
          m_bytes(bytes)
    {
    }

    /// Appends raw bytes.
    void write(const void* data, std::size_t size)
    {
        m_bytes.append(static_cast<const char*>(data), size);
    }

private:
    std::string& m_bytes;
};

/// Memory that the elements of decoded lists may take together, in bytes. An element may take far
/// more than its encoding: an empty text is four bytes long.
inline constexpr std::size_t max_decoded_bytes = 16U << 20U;

/// Reads what bounded_output_archive wrote. A length that exceeds the bytes that are left is
/// refused before anything is allocated for it, and lists grow only with the elements that are
/// there, up to max_decoded_bytes.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
    /// Reads from bytes that outlive the archive.
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>(this),
          m_rest(bytes)
    {
    }

    /// Takes raw bytes.
    void read(void* data, std::size_t size)
    {
        if (size > m_rest.size()) {
            throw cereal::Exception("the data ends early");
        }
        // An empty list has no memory to copy to.
        if (size > 0) {
            std::memcpy(data, m_rest.data(), size);
            m_rest.remove_prefix(size);
        }
    }

    /// Refuses a number of elements that the rest of the data cannot hold.
    void check_length(std::uint64_t length) const
    {
        if (length > m_rest.size()) {
            throw cereal::Exception("a length exceeds the data");
        }
    }

    /// Counts the memory of a list's element before it is read.
    void count_element(std::size_t bytes)
    {
        m_decoded_bytes += bytes;
        if (m_decoded_bytes > max_decoded_bytes) {
            throw cereal::Exception("the lists take too much memory");
        }
    }

    /// Memory of the elements of lists so far, in bytes.
    [[nodiscard]] std::size_t decoded_bytes() const { return m_decoded_bytes; }

private:
    std::string_view m_rest;
    std::size_t m_decoded_bytes = 0;
};

static_assert(std::endian::native == std::endian::little, "the format is the machine's own");

/// Writes a number.
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(bounded_output_archive& archive, const T& value)
{
    archive.write(&value, sizeof value);
}

/// Reads a number.
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(bounded_input_archive& archive, T& value)
{
    archive.read(&value, sizeof value);
}

/// Writes a named value without its name.
template <typename T>
void save(bounded_output_archive& archive, const cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Reads a named value.
template <typename T>
void load(bounded_input_archive& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Writes a number of elements.
template <typename T>
void save(bounded_output_archive& archive, const cereal::SizeTag<T>& tag)
{
    const auto length = static_cast<std::uint32_t>(tag.size);
    archive.write(&length, sizeof length);
}

/// Reads a number of elements.
template <typename T>
void load(bounded_input_archive& archive, cereal::SizeTag<T>& tag)
{
    std::uint32_t length = 0;
    archive.read(&length, sizeof length);
    archive.check_length(length);
    tag.size = length;
}

/// Reads a list whose elements are not plain numbers, one element after the other. Preferred over
/// cereal's function, which makes all announced elements before it reads the first.
template <typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> load(bounded_input_archive& archive,
                                                std::vector<T, Allocator>& list)
{
    std::uint32_t length = 0;
    archive.read(&length, sizeof length);
    archive.check_length(length);
    list.clear();
    for (std::uint32_t i = 0; i < length; ++i) {
        archive.count_element(sizeof(T));
        archive(list.emplace_back());
    }
}

/// Writes the elements of a string or a list of numbers.
template <typename T>
void save(bounded_output_archive& archive, const cereal::BinaryData<T>& data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

/// Reads the elements of a string or a list of numbers.
template <typename T>
void load(bounded_input_archive& archive, cereal::BinaryData<T>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

} // namespace guavabay

CEREAL_REGISTER_ARCHIVE(guavabay::bounded_output_archive)
CEREAL_REGISTER_ARCHIVE(guavabay::bounded_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(guavabay::bounded_input_archive, guavabay::bounded_output_archive)
