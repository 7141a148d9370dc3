// Text that is never changed and that several owners hold in memory once.
#pragma once

#include <memory>
#include <string>
#include <utility>

namespace papayahook::runtime {

class shared_text
{
public:
    shared_text() = default;
    shared_text(std::string it)
        : text_(it.empty() ? nullptr
                           : std::make_shared<std::string const>(std::move(it)))
    {
    }
    shared_text(char const* it) : shared_text(std::string(it)) {}
    // The text may be a part of an object that the pointer keeps alive.
    explicit shared_text(std::shared_ptr<std::string const> it)
        : text_(std::move(it))
    {
    }

    std::string const& get() const
    {
        static std::string const none;
        return text_ ? *text_ : none;
    }
    operator std::string const&() const { return get(); }
    std::size_t size() const { return get().size(); }
    bool empty() const { return get().empty(); }

private:
    std::shared_ptr<std::string const> text_;
};

} // namespace papayahook::runtime
