#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

/// Body of a request to a server.
namespace endivespan {

/// Immutable text that is shared, not copied, by everything that holds it: the attempts of a request and their output.
class HttpBody
{
public:
    HttpBody() = default;

    // NOLINTNEXTLINE(google-explicit-constructor): a body is assigned like the text that it is.
    HttpBody(std::string text)
        : text(std::make_shared<const std::string>(std::move(text)))
    {
    }

    explicit HttpBody(std::shared_ptr<const std::string> text)
        : text(std::move(text))
    {
    }

    [[nodiscard]] std::string_view view() const
    {
        return this->text == nullptr ? std::string_view() : std::string_view(*this->text);
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->view().size();
    }

    [[nodiscard]] bool empty() const
    {
        return this->view().empty();
    }

private:
    std::shared_ptr<const std::string> text;
};

} // namespace endivespan
