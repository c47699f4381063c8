// Incarnations of hosted backend servers. A backend server may start again
// under the name that it had; a name and the moment of the start tell one
// process from the next. What an earlier one said, however late it arrives,
// must not touch the later one. Plain data and one command; time is passed in.
#pragma once

#include "base/names_type.hpp"
#include "hosted/announcement_type.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace jasminetray {

/// What an announcement means for the incarnation that its name stands for.
enum class announcement_status : std::uint8_t
{
    stale,    ///< of an earlier incarnation, or older than what is known
    stranger, ///< does not say which incarnation it is of, where others do
    gone,     ///< the incarnation takes no new work from here on
    current,  ///< newest word of the newest incarnation
};

inline constexpr std::array<std::string_view, 4> announcement_status_names = {
    "stale", "stranger", "gone", "current"};

/// An incarnation that looks older than the newest one and goes on speaking.
struct incarnation_rival
{
    std::uint64_t born = 0;     ///< 0 for none
    std::uint64_t sequence = 0; ///< of its newest announcement
    int heard = 0;              ///< announcements with rising numbers
    mono_us since = 0;          ///< when the first of them came
};

/// What is kept of an incarnation that another one followed, so that its late
/// words are told from those of one that lives.
struct incarnation_past
{
    std::uint64_t born = 0;
    std::uint64_t sequence = 0; ///< of its newest announcement
    bool left = false;          ///< said that it drains or leaves
};

constexpr std::size_t max_past = 8; ///< of one name; a crash loop makes more

/// What one name is known by. Invariant: all but `rival`, `ceiling` and `past`
/// belongs to the incarnation `born`; a later one begins with nothing.
struct incarnation_record
{
    std::uint64_t born = 0;     ///< ms since 1970; 0 when nobody tells
    std::uint64_t sequence = 0; ///< of its newest announcement
    int ready = 0;              ///< announcements as ready
    bool left = false;          ///< said that it drains or leaves; for good
    std::uint64_t left_ms = 0;  ///< wall clock when it said so, undated
    mono_us heard_at = 0;       ///< newest announcement of any kind
    /// Starts up to this one looked later and belong to the dead: the clock
    /// stepped back since. 0 for none.
    std::uint64_t ceiling = 0;
    // Invariant: at most max_past, the latest last.
    std::vector<incarnation_past> past;
    incarnation_rival rival;
};

/// Bounds of the table.
struct incarnation_policy
{
    /// Names remembered; the one that was silent for longest is forgotten. A
    /// VM has one backend server at a time.
    std::size_t max_names = 256;
    /// An incarnation whose start looks older is alive after all when it goes
    /// on announcing itself for so long while the newest one is silent. Bytes
    /// that were held up by a cut come at once, not for seconds.
    span_us rival_span = 3 * us_per_s;
    int rival_words = 3; ///< announcements that this takes at least
};

/// Test hooks that turn a guard off; all on in production.
struct incarnation_guards
{
    bool order_starts = true;  ///< an earlier start is an older incarnation
    bool fresh_record = true;  ///< a later incarnation begins with nothing
    bool keep_left = true;     ///< one that left never comes back
    bool hear_rivals = true;   ///< a clock that stepped back hides nobody
    bool need_start = true;    ///< undated words count only where all are
    bool order_numbers = true; ///< a late announcement says nothing new
};

/// All names that announced themselves on one VM.
struct incarnation_table
{
    incarnation_policy policy;
    incarnation_guards guards;
    std::map<std::string, incarnation_record> names;
};

/// Takes an announcement in and says what it means.
/// @param now monotonic, of this process
/// @param wall_ms wall clock of this VM, in milliseconds since 1970
announcement_status apply_announcement(incarnation_table& t,
                                       const announcement& a, mono_us now,
                                       std::uint64_t wall_ms);

/// Whether a start that is named now is that of the process that answered a
/// health probe, so that its work goes on. A node that starts beside a backend
/// server finds it by its answer, which does not tell the start; its first
/// announcement was then taken for a restart, and all that ran there was ended
/// as unknown. One process at a time stands behind an address, so the one that
/// answered is the one with the latest start before the answer. A start that
/// lies ahead shows that the clock stepped back: in doubt the work goes on,
/// and ends by itself if its process is gone.
/// @param born start that is named, in milliseconds since 1970
/// @param known start that was believed so far; 0 for none
/// @param answered_ms wall clock when the answer came; 0 for no answer
/// @param wall_ms wall clock now
bool is_start_of_probed_process(std::uint64_t born, std::uint64_t known,
                                std::uint64_t answered_ms,
                                std::uint64_t wall_ms);

} // namespace jasminetray
