// Configuration stored as a single document that an external tool writes.
// Configurations of this project's own tool use manifests instead; see
// config_store.hpp.
#pragma once

#include "config/config_type.hpp"
#include "store/store_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace jasminetray {

/// Location and parser of configuration documents; `parse` is empty if the
/// fleet does not use documents.
struct document_source
{
    row_name at; ///< row that holds the newest document
    /// Parses a document. Returns nothing and sets `reason` on error.
    std::function<std::optional<fleet_config>(const std::string& text,
                                              std::string& reason)>
        parse;
};

} // namespace jasminetray
