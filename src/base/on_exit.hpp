// Runs a function at the end of a scope, also when an exception leaves it or
// the coroutine is destroyed.
#pragma once

#include <utility>

namespace jasminetray {

/// @tparam Call must not throw
template <typename Call>
class on_exit
{
public:
    explicit on_exit(Call call) : call_(std::move(call))
    {
    }

    ~on_exit()
    {
        call_();
    }

    on_exit(const on_exit&) = delete;
    on_exit& operator=(const on_exit&) = delete;

private:
    Call call_;
};

} // namespace jasminetray
