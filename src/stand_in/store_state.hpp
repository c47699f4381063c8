// In-memory stand-in for the platform's store, with fault injection.
#pragma once

#include "stand_in/stand_in_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace jasminetray {

/// Injected faults.
struct store_fault
{
    bool down = false;                ///< closes connections without a response
    bool unresponsive = false;        ///< accepts calls, never responds
    bool unavailable = false;         ///< responds with 503
    bool too_many_requests = false;   ///< responds with 429
    bool drop_write_response = false; ///< applies writes, then closes
    int slow_ms = 0;                  ///< delay of each response
};

struct stored_row
{
    std::uint64_t version = 0; ///< store version of the last write
    std::string value;         ///< base64
};

struct stored_change
{
    std::uint64_t version = 0;
    std::string table;
    std::string key;
};

struct store_state
{
    std::uint64_t version = 0; ///< increases with every transaction
    std::map<std::pair<std::string, std::string>, stored_row> rows;
    std::deque<stored_change> changes; ///< oldest first
    std::uint64_t discarded_up_to = 0; ///< last version without history
    std::size_t max_page_rows = 500;   ///< per response
    std::unordered_map<std::string, std::string> objects;
    std::shared_ptr<const store_state> copy; ///< to be restored; may be null
    store_fault fault;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

/// Writes a row on behalf of the platform's operator.
/// @param value unencoded
void put_operator_row(store_state& s, const std::string& table,
                      const std::string& key, const std::string& value);

/// Discards the change history, as the store may do at any time.
void discard_history(store_state& s);

/// Serves a call of the store protocol or of the test controls: POST /fault
/// {"mode": none|down|silent|busy|many|slow|lose_answer|forget|copy|restore,
/// "ms": N}, POST /operator {"table", "key", "value"}, GET /stats.
stand_in_action serve_store(store_state& s, const stand_in_request& q,
                            stand_in_response& r, asio::io_context& ctx,
                            const asio::yield_context& y);

} // namespace jasminetray
