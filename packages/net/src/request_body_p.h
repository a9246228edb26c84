#pragma once

#include <endivespan/config.h>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Body of a request while it is received.
namespace endivespan {

/// Bytes in blocks of limited size. A single text that grows would be copied into ever larger memory, of which up to
/// half is unused, and would leave gaps of all sizes when many bodies grow at once.
class BodyBlocks
{
public:
    /// Names the size of the body, if the caller has announced it.
    void expect(std::size_t size)
    {
        this->announced = size;
    }

    void append(const char *bytes, std::size_t count)
    {
        while (count > 0) {
            if (this->blocks.empty() || this->blocks.back().size() == this->blocks.back().capacity()) {
                this->addBlock();
            }
            std::string &last = this->blocks.back();
            const std::size_t part = std::min(count, last.capacity() - last.size());
            last.append(bytes, part);
            this->size += part;
            bytes += part;
            count -= part;
        }
    }

    /// @returns the memory in use.
    [[nodiscard]] std::size_t capacity() const
    {
        return this->allocated;
    }

    /// Empties the blocks.
    /// @returns their content.
    std::string take()
    {
        std::string text;
        if (this->blocks.size() == 1) {
            text = std::move(this->blocks.front());
        } else {
            text.reserve(this->size);
            for (std::string &block : this->blocks) {
                text += block;
                std::string().swap(block);
            }
        }
        *this = {};
        return text;
    }

private:
    // Small bodies get a block of their size; those of unknown size start small and double up to the largest block.
    void addBlock()
    {
        const std::size_t left = this->announced > this->size ? this->announced - this->size
                                                              : std::max(this->size, config::BodyBlockLeast);
        this->blocks.emplace_back().reserve(std::min(left, config::BodyBlockBytes));
        this->allocated += this->blocks.back().capacity();
    }

    std::vector<std::string> blocks;
    std::size_t size = 0;
    std::size_t allocated = 0;
    std::size_t announced = 0;
};

/// Body type for Beast's parser, with the names that it requires.
struct RequestBody {
    using value_type = BodyBlocks; // NOLINT(readability-identifier-naming)

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> &, BodyBlocks &body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            this->body.expect(static_cast<std::size_t>(length.value_or(0)));
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            std::size_t taken = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char *>(buffer.data()), buffer.size());
                taken += buffer.size();
            }
            error = {};
            return taken;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        BodyBlocks &body;
    };
};

} // namespace endivespan
