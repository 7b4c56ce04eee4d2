#include "retry/window.h"

namespace orioletrail {

void RetryWindow::onRequest(std::string_view name, TimePoint now)
{
    Service& service = serviceOf(name);
    dropExpired(service, now);
    service.requests.push_back(now);
}

bool RetryWindow::hasRoom(std::string_view name, TimePoint now)
{
    return static_cast<double>(spent(name, now) + 1) <= limit(name, now);
}

double RetryWindow::limit(std::string_view name, TimePoint now)
{
    Service& service = serviceOf(name);
    dropExpired(service, now);
    return m_settings.ratio * static_cast<double>(service.requests.size()) + m_settings.slack;
}

size_t RetryWindow::spent(std::string_view name, TimePoint now)
{
    Service& service = serviceOf(name);
    dropExpired(service, now);
    return service.retries.size();
}

bool RetryWindow::tryRetry(std::string_view name, TimePoint now)
{
    if (!hasRoom(name, now))
        return false;
    serviceOf(name).retries.push_back(now);
    return true;
}

RetryWindow::Service& RetryWindow::serviceOf(std::string_view name)
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? m_services[std::string(name)] : found->second;
}

void RetryWindow::dropExpired(Service& service, TimePoint now) const
{
    for (std::deque<TimePoint>* times : { &service.requests, &service.retries })
        while (!times->empty() && times->front() + m_settings.window <= now)
            times->pop_front();
}

} // namespace orioletrail
