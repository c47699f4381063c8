// Retry budgets; see entry_budget.hpp.
#include "node/entry_budget.hpp"

#include <algorithm>

namespace jasminetray {

retry_budget& current_retry_budget(node_state& n, const service_config& c)
{
    auto& budget = n.retry_budgets[c.name];
    const auto& h = n.settings.hosted;
    if (n.balance.estimate.on)
        apply_fleet_allowance(budget,
                              {h.retry_ratio, h.retry_slack, h.retry_window,
                               std::max<std::size_t>(1, n.max_nodes)},
                              mono_now() - n.started_at);
    else
        budget.share = c.retry_share;
    return budget;
}

} // namespace jasminetray
