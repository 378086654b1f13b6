#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

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

/// Reads what bounded_output_archive wrote. A length that exceeds the bytes that are left is
/// refused before anything is allocated for it.
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

private:
    std::string_view m_rest;
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
