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

/// Encoding to and decoding from memory with Thrift's compact protocol, for the codecs of this package.
namespace endivespan {

/// @returns the encoding of @p value.
template<typename T>
std::string encodeThrift(const T &value)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// @returns the decoded value, or nothing when the bytes are not a valid encoding of @p T.
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
    // A valid string or list is never longer than the input. With this limit, a wrong length field cannot cause a large
    // allocation.
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
