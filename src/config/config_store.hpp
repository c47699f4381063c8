// Configuration in the platform's store: chunks and manifests as objects
// named by their hash, one head row moved by compare-and-set, one history
// row per version written in the same transaction.
#pragma once

#include "config/config_type.hpp"
#include "store/store_type.hpp"

#include <functional>
#include <optional>

namespace jasminetray {

/// Head row or history row: which version, whose.
struct config_head
{
    std::uint64_t version = 0;  ///< 0 when nothing was ever accepted
    std::uint64_t manifest = 0; ///< hash of the manifest's text
    std::string author;
    std::string submission;           ///< unique per submission
    std::uint64_t rolled_back_to = 0; ///< version whose files it repeats
    std::uint64_t row = 0; ///< the store's version of the head row; 0: absent
};

/// One file of a manifest.
struct manifest_file
{
    std::string name;
    std::vector<std::uint64_t> lists; ///< hashes of lists of chunks, in order
};

/// What a version consists of.
struct config_manifest
{
    std::vector<manifest_file> files;
};

/// What came of a submission.
enum class submit_outcome : std::uint8_t
{
    accepted,
    invalid,      ///< the files are wrong; see the reason
    lost_race,    ///< another submission came first
    not_accepted, ///< the store did not take it and never will
    undetermined, ///< sent; the store went out before it could be asked
};

inline constexpr std::array<std::string_view, 5> submit_outcome_names = {
    "accepted", "invalid", "lost-race", "not-accepted", "unsettled"};

/// Outcome with what there is to say about it.
struct submit_result
{
    submit_outcome outcome{};
    config_head head;                ///< accepted: ours; lost: the winner's
    std::string reason;              ///< why not
    std::vector<std::string> differ; ///< lost: files that differ from ours
};

/// Someone's wish to change the configuration.
struct submission
{
    std::vector<config_file> files;
    std::string author;
    std::string id;             ///< unique
    std::uint64_t expected = 0; ///< version it is based on; 0 for current
    std::uint64_t rolled_back_to = 0;
    int max_resolve_attempts = 30; ///< reads to settle a lost answer
    std::function<void()> pause;   ///< between tries; may be empty
};

/// Cuts text into chunks at section starts chosen by their own content, so
/// that an edit changes one chunk and leaves the others' hashes alone.
std::vector<std::string> split_chunks(const std::string& text);

/// Manifest as text and back.
std::string to_text(const config_manifest& m);
std::optional<config_manifest> parse_manifest(const std::string& text);

/// Head as text and back.
std::string to_text(const config_head& h);
std::optional<config_head> parse_head(const std::string& text);

/// Cuts hashes into lists, at hashes chosen by their own value: an edit
/// changes one list of some dozens, and not one manifest of thousands.
std::vector<std::string> split_lists(const std::vector<std::uint64_t>& chunks);

/// Names in the object store.
std::string list_name(std::uint64_t hash);
std::string chunk_name(std::uint64_t hash);
std::string manifest_name(std::uint64_t hash);

/// Submits files. Checks them first; changes nothing unless all is well.
submit_result submit_config(const store_api& p, const submission& s);

/// Head row; version 0 when nothing was accepted yet.
std::optional<config_head> read_head(const store_api& p, store_error& last);

/// History row of a version.
std::optional<config_head>
read_history(const store_api& p, std::uint64_t version, store_error& last);

/// Files of a manifest, read through any source of objects.
/// @param hash of the manifest
/// @param get object by name
/// @param why what was missing or did not match its hash
std::optional<std::vector<config_file>> load_files(
    std::uint64_t hash,
    const std::function<std::optional<std::string>(const std::string&)>& get,
    std::string& why);

} // namespace jasminetray
