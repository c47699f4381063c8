// Configuration as one document in the store, written by somebody else's
// tool: where it stands and how it becomes a configuration. The product's own
// files come by manifests instead; see config_store.hpp.
#pragma once

#include "config/config_type.hpp"
#include "store/store_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace jasminetray {

/// Where documents come from. `parse` is empty when there are none.
struct document_source
{
    row_name at; ///< row with the newest document
    /// Turns a document into a configuration, whole or not at all.
    std::function<std::optional<fleet_config>(const std::string& text,
                                              std::string& why)>
        parse;
};

} // namespace jasminetray
