// The platform over HTTP: rows and transactions of the table service,
// objects of the object store.
#pragma once

#include "base/text_func.hpp"
#include "base/time_type.hpp"
#include "platform/platform_type.hpp"

namespace jasminetray {

/// A platform at an address.
/// @param at where it listens
/// @param bound time for one call
platform_api make_platform_http(const host_port& at, span_us bound);

} // namespace jasminetray
