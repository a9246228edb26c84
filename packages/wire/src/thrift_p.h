#pragma once

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Thrift's compact protocol over memory, for every codec of this package.
namespace endivespan {

/// @returns the bytes of @p value.
template<typename T>
std::string encodeThrift(const T &value)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// @returns the value written as @p bytes, or nothing when they are no such value.
template<typename T>
std::optional<T> decodeThrift(std::string_view bytes)
{
    constexpr std::size_t Most = std::numeric_limits<std::int32_t>::max();
    if (bytes.empty() || bytes.size() > Most) {
        return std::nullopt;
    }
    std::string copy(bytes);
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(copy.data()), static_cast<std::uint32_t>(copy.size()));
    // No text and no list is longer than the bytes that hold it: a wrong length cannot ask for more memory.
    const auto limit = static_cast<std::int32_t>(copy.size());
    apache::thrift::protocol::TCompactProtocol protocol(buffer, limit, limit);
    try {
        T value;
        value.read(&protocol);
        return value;
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
}

} // namespace endivespan
