#include "admission/fairness.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    template <class Counts>
    void decrement(Counts& counts, std::string_view account)
    {
        const auto found = counts.find(account);
        if (found != counts.end() && !--found->second)
            counts.erase(found);
    }

} // namespace detail

Reason FairShare::admit(const FairShareRequest& request)
{
    const uint32_t entries = std::max(1U, request.liveEntries);
    const uint32_t limit = (request.maxInFlight + entries - 1) / entries;
    if (inFlight(request.account) >= limit)
        return Reason::AccountLimit;
    if (exceedsShare(request))
        return Reason::FairShare;
    ServiceUse& use = m_services[std::string(request.service)];
    ++use.byAccount[std::string(request.account)];
    ++use.total;
    ++m_inFlight[std::string(request.account)];
    return Reason::None;
}

bool FairShare::exceedsShare(const FairShareRequest& request) const
{
    const auto service = m_services.find(request.service);
    if (service == m_services.end())
        return false;
    const ServiceUse& use = service->second;
    const uint32_t used = countOf(use.byAccount, request.account);
    const auto activeAccounts = static_cast<uint32_t>(use.byAccount.size() + (used ? 0 : 1));
    const bool isFull = use.total >= request.capacity;
    // An account that uses the service alone does not reduce the share of others.
    return isFull && activeAccounts > 1 && used >= std::max(1U, request.capacity / activeAccounts);
}

void FairShare::finish(std::string_view account, std::string_view service)
{
    detail::decrement(m_inFlight, account);
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    detail::decrement(found->second.byAccount, account);
    if (!--found->second.total)
        m_services.erase(found);
}

uint32_t FairShare::inFlight(std::string_view account) const
{
    return countOf(m_inFlight, account);
}

uint32_t FairShare::countOf(const Counts& counts, std::string_view account)
{
    const auto found = counts.find(account);
    return found == counts.end() ? 0 : found->second;
}

} // namespace orioletrail
