#include "directory/catalog.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    template <class Map>
    const typename Map::mapped_type* findValue(const Map& map, std::string_view key)
    {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : &found->second;
    }

} // namespace detail

const Route* Catalog::findRoute(std::string_view host, std::string_view path) const
{
    const auto* routes = detail::findValue(m_routes, host);
    if (!routes)
        return nullptr;
    const auto found = std::find_if(routes->begin(), routes->end(), [&](const Route& route) { return path.starts_with(route.pathPrefix); });
    return found == routes->end() ? nullptr : &*found;
}

const ServiceProfile* Catalog::findService(std::string_view name) const
{
    return detail::findValue(m_services, name);
}

bool Catalog::namesService(std::string_view name) const
{
    return m_services.contains(name) || m_routePriorities.contains(name);
}

const AccountProfile* Catalog::findAccount(std::string_view key) const
{
    return detail::findValue(m_accountsByKey, key);
}

std::string_view Catalog::findAccountKey(std::string_view name) const
{
    for (const auto& [key, account] : m_accountsByKey)
        if (account.name == name)
            return key;
    return {};
}

bool Catalog::hasRoutePriorities(std::string_view service) const
{
    const auto* priorities = detail::findValue(m_routePriorities, service);
    return priorities && priorities->size() > 1;
}

bool Catalog::hasPriorities(std::string_view service) const
{
    const auto* priorities = detail::findValue(m_routePriorities, service);
    if (!priorities)
        return false;
    return priorities->size() > 1 || std::any_of(m_accountPriorities.begin(), m_accountPriorities.end(), [&](int priority) { return priority != *priorities->begin(); });
}

size_t Catalog::routeCount() const
{
    size_t count = 0;
    for (const auto& [host, routes] : m_routes)
        count += routes.size();
    return count;
}

CatalogBuilder& CatalogBuilder::version(uint64_t version)
{
    m_catalog.m_version = version;
    return *this;
}

CatalogBuilder& CatalogBuilder::limits(const CallerLimits& limits)
{
    m_catalog.m_limits = limits;
    return *this;
}

CatalogBuilder& CatalogBuilder::source(std::string text)
{
    m_catalog.m_source = std::make_shared<const std::string>(std::move(text));
    return *this;
}

CatalogBuilder& CatalogBuilder::route(Route route)
{
    for (const RouteTarget& target : route.targets)
        m_catalog.m_routePriorities[target.service].insert(route.priority);
    m_catalog.m_routes[route.host].push_back(std::move(route));
    return *this;
}

CatalogBuilder& CatalogBuilder::service(ServiceProfile service)
{
    const std::string name = service.name;
    m_catalog.m_services.insert_or_assign(name, std::move(service));
    return *this;
}

CatalogBuilder& CatalogBuilder::account(const AccountProfile& account, std::span<const std::string> keys)
{
    m_catalog.m_hasAccounts = true;
    if (account.priority)
        m_catalog.m_accountPriorities.insert(*account.priority);
    for (const std::string& key : keys)
        m_catalog.m_accountsByKey.insert_or_assign(key, account);
    return *this;
}

Catalog CatalogBuilder::build() &&
{
    for (auto& [host, routes] : m_catalog.m_routes)
        std::stable_sort(routes.begin(), routes.end(), [](const Route& a, const Route& b) { return a.pathPrefix.size() > b.pathPrefix.size(); });
    return std::move(m_catalog);
}

} // namespace orioletrail
