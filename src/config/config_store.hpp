// Configuration in the platform's store. Chunks, lists and manifests are
// objects named by their hash. A submission updates the head row by
// compare-and-set and writes a history row in the same transaction.
#pragma once

#include "config/config_type.hpp"
#include "store/store_type.hpp"

#include <functional>
#include <optional>

namespace jasminetray {

/// Contents of the head row or a history row.
struct config_head
{
    std::uint64_t version = 0;  ///< 0 before the first submission
    std::uint64_t manifest = 0; ///< hash of the manifest's text
    std::string author;
    std::string submission;           ///< id of the submission
    std::uint64_t rolled_back_to = 0; ///< version that was restored; 0 for none
    std::uint64_t row_version = 0;    ///< store version of the row; 0: absent
};

struct manifest_file
{
    std::string name;
    std::vector<std::uint64_t> lists; ///< hashes of chunk lists, in order
};

struct config_manifest
{
    std::vector<manifest_file> files;
};

enum class submit_outcome : std::uint8_t
{
    accepted,
    invalid,      ///< the files have errors
    lost_race,    ///< another submission was accepted first
    not_accepted, ///< not stored, and never will be
    undetermined, ///< the write was sent, but the store stopped responding
};

inline constexpr std::array<std::string_view, 5> submit_outcome_names = {
    "accepted", "invalid", "lost-race", "not-accepted", "unsettled"};

struct submit_result
{
    submit_outcome outcome{};
    config_head head;   ///< the accepted version, or the one that won the race
    std::string reason; ///< empty if accepted
    std::vector<std::string> differing_files; ///< set if the race was lost
};

/// Request to change the configuration.
struct submission
{
    std::vector<config_file> files;
    std::string author;
    std::string id;             ///< unique
    std::uint64_t expected = 0; ///< version it is based on; 0 for any
    std::uint64_t rolled_back_to = 0;
    int max_resolve_attempts = 30; ///< bounds reads after a lost response
    std::function<void()> wait_before_retry; ///< may be empty
};

/// Splits text into chunks at content-defined section starts, so that an edit
/// changes few chunks.
std::vector<std::string> split_chunks(const std::string& text);

std::string to_text(const config_manifest& m);
std::optional<config_manifest> parse_manifest(const std::string& text);

std::string to_text(const config_head& h);
std::optional<config_head> parse_head(const std::string& text);

/// Splits chunk hashes into lists at content-defined boundaries, so that an
/// edit changes one short list.
std::vector<std::string> split_lists(const std::vector<std::uint64_t>& chunks);

std::string list_name(std::uint64_t hash);
std::string chunk_name(std::uint64_t hash);
std::string manifest_name(std::uint64_t hash);

/// Validates the files and submits them. The configuration in force changes
/// only if the result is accepted or undetermined.
submit_result submit_config(const store_api& p, const submission& s);

/// Returns the head row, with version 0 if there is none, or nothing on error.
std::optional<config_head> read_head(const store_api& p, store_error& error);

std::optional<config_head>
read_history(const store_api& p, std::uint64_t version, store_error& error);

/// Loads the files of a manifest and verifies the hash of each object.
/// @param hash hash of the manifest
/// @param get returns an object by name
/// @param reason receives the error
std::optional<std::vector<config_file>> load_files(
    std::uint64_t hash,
    const std::function<std::optional<std::string>(const std::string&)>& get,
    std::string& reason);

} // namespace jasminetray
