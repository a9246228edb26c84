#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

/// Maps names to handles that index fixed-capacity pools.
namespace endivespan {

/// Names and their handles. New handles are given out before released ones, and of these the one released first.
/// @tparam HandleType One of the handles in handle.h.
template<typename HandleType>
class NameTable
{
public:
    /// @param capacity Largest number of names, and so of handles.
    explicit NameTable(std::size_t capacity)
        : capacity(capacity)
    {
    }

    /// @returns the handle of @p name, which is added if it has none; an invalid handle when the table is full.
    HandleType intern(const std::string &name)
    {
        if (const auto found = this->handles.find(name); found != this->handles.end()) {
            return found->second;
        }
        HandleType handle = this->takeHandle();
        if (handle.isValid()) {
            this->handles.emplace(name, handle);
            this->names[handle.index] = name;
        }
        return handle;
    }

    /// @returns the handle of @p name; an invalid handle when it has none.
    [[nodiscard]] HandleType find(const std::string &name) const
    {
        const auto found = this->handles.find(name);
        return found == this->handles.end() ? HandleType {} : found->second;
    }

    /// @returns the name of a valid handle.
    [[nodiscard]] const std::string &name(HandleType handle) const
    {
        return this->names.at(handle.index);
    }

    /// Removes the name of @p handle. The handle may be reused, so nothing must use it any more.
    void release(HandleType handle)
    {
        this->handles.erase(this->names.at(handle.index));
        this->freeHandles.push_back(handle);
    }

private:
    HandleType takeHandle()
    {
        HandleType handle;
        if (this->names.size() < this->capacity) {
            handle.index = static_cast<std::uint32_t>(this->names.size());
            this->names.emplace_back();
        } else if (!this->freeHandles.empty()) {
            handle = this->freeHandles.front();
            this->freeHandles.pop_front();
        }
        return handle;
    }

    std::size_t capacity;
    std::unordered_map<std::string, HandleType> handles;
    std::vector<std::string> names;
    std::deque<HandleType> freeHandles;
};

} // namespace endivespan
