#include "priority/floors.h"

#include <algorithm>
#include <vector>

namespace orioletrail {

namespace detail {

    // A route with 0.7 requests per second at an entry, the least urgent at one of 53 entries, still has
    // several of them in its counts.
    constexpr double shareTimeConstantSeconds = 10;
    // Floors of routes and accounts relative to all requests, and of large requests relative to their route.
    constexpr double routeFloor = 0.25;
    constexpr double sizeFloor = 0.5;
    // Requests go first before their floor is reached, since a refused one cannot be made up for.
    constexpr double floorMargin = 1.2;
    // An account that asks for less than this multiple of its share bears nothing.
    constexpr double excessFactor = 2;
    // Classes with fewer requests in their counts have no measured share.
    constexpr double minAsked = 2;
    // Bounds the memory for accounts; the configuration names fewer.
    constexpr size_t maxShares = 4096;
    constexpr size_t sizesKept = 200;
    constexpr size_t minSizes = 20;
    const std::string allKey = "all";
    constexpr double forgottenBelow = 0.05;

} // namespace detail

std::string Floors::routeKey(const FloorRequest& request)
{
    return "route:" + std::string(request.route);
}

std::string Floors::accountKey(const FloorRequest& request)
{
    return "account:" + std::to_string(request.priority) + ':' + std::string(request.account);
}

std::string Floors::sizeKey(const FloorRequest& request) const
{
    return "size:" + std::to_string(sizeClass(request)) + ':' + std::string(request.route);
}

Floors::SizeClass Floors::sizeClass(const FloorRequest& request) const
{
    const auto sizes = m_sizes.find(request.route);
    if (sizes == m_sizes.end() || !request.tokens || sizes->second.latest.size() < detail::minSizes)
        return 2;
    return request.tokens >= sizes->second.largest ? 0 : request.tokens >= sizes->second.large ? 1
                                                                                               : 2;
}

Floors::Share& Floors::shareOf(std::string key, TimePoint now)
{
    if (m_shares.size() >= detail::maxShares)
        std::erase_if(m_shares, [&](const auto& item) { return item.second.asked.value(now) < detail::forgottenBelow; });
    if (m_shares.size() >= detail::maxShares)
        key = "other";
    const DecayingCount zero(detail::shareTimeConstantSeconds);
    return m_shares.try_emplace(std::move(key), Share { zero, zero }).first->second;
}

void Floors::onArrival(const FloorRequest& request, TimePoint now)
{
    if (request.isReturn)
        return;
    if (request.tokens) {
        RouteSizes& sizes = m_sizes[std::string(request.route)];
        sizes.latest.push_back(request.tokens);
        if (sizes.latest.size() > detail::sizesKept)
            sizes.latest.pop_front();
        if (sizes.latest.size() % detail::minSizes == 0) {
            std::vector<uint64_t> sorted(sizes.latest.begin(), sizes.latest.end());
            std::sort(sorted.begin(), sorted.end());
            sizes.largest = sorted[sorted.size() * 9 / 10];
            sizes.large = sorted[sorted.size() * 7 / 10];
        }
    }
    shareOf(detail::allKey, now).asked.add(now);
    shareOf(routeKey(request), now).asked.add(now);
    shareOf(sizeKey(request), now).asked.add(now);
    if (!request.account.empty())
        shareOf(accountKey(request), now).asked.add(now);
}

void Floors::onServed(const FloorRequest& request, TimePoint now)
{
    shareOf(detail::allKey, now).served.add(now);
    shareOf(routeKey(request), now).served.add(now);
    shareOf(sizeKey(request), now).served.add(now);
    if (!request.account.empty())
        shareOf(accountKey(request), now).served.add(now);
}

bool Floors::isBelow(const std::string& key, const std::string& reference, double factor, TimePoint now) const
{
    const auto share = m_shares.find(key);
    const auto other = m_shares.find(reference);
    if (share == m_shares.end() || other == m_shares.end())
        return false;
    const double asked = share->second.asked.value(now);
    const double otherAsked = other->second.asked.value(now);
    if (asked < detail::minAsked || otherAsked < detail::minAsked)
        return false;
    return share->second.served.value(now) / asked < detail::floorMargin * factor * other->second.served.value(now) / otherAsked;
}

bool Floors::isBelow(const FloorRequest& request, TimePoint now) const
{
    return isBelow(routeKey(request), detail::allKey, detail::routeFloor, now)
        || (!request.account.empty() && !isExcess(request, now) && isBelow(accountKey(request), detail::allKey, detail::routeFloor, now))
        || (sizeClass(request) < 2 && isBelow(sizeKey(request), routeKey(request), detail::sizeFloor, now));
}

bool Floors::isExcess(const FloorRequest& request, TimePoint now) const
{
    if (request.account.empty())
        return false;
    const std::string prefix = accountKey({ {}, {}, request.priority });
    const std::string own = accountKey(request);
    double asked = 0;
    double served = 0;
    double ownAsked = 0;
    double ownServed = 0;
    size_t accounts = 0;
    for (auto share = m_shares.lower_bound(prefix); share != m_shares.end() && share->first.starts_with(prefix); ++share) {
        const double shareAsked = share->second.asked.value(now);
        if (shareAsked < detail::minAsked && share->first != own)
            continue;
        ++accounts;
        asked += shareAsked;
        served += share->second.served.value(now);
        if (share->first == own) {
            ownAsked = shareAsked;
            ownServed = share->second.served.value(now);
        }
    }
    if (accounts < 2)
        return false;
    const auto others = static_cast<double>(accounts - 1);
    return ownAsked > detail::excessFactor * (asked - ownAsked) / others && ownServed > (served - ownServed) / others;
}

} // namespace orioletrail
