#include "retry/budget.h"

#include <algorithm>

namespace orioletrail {

void RetryBudget::onRequest(std::string_view key, TimePoint now)
{
    Bucket& bucket = update(key, now);
    bucket.requests.push_back(now);
    bucket.balance = std::min(limit(bucket), bucket.balance + (1 - balanceShare) * m_settings.ratio);
}

bool RetryBudget::hasRoom(std::string_view key, TimePoint now)
{
    return balance(key, now) >= 1;
}

bool RetryBudget::tryRetry(std::string_view key, TimePoint now)
{
    Bucket& bucket = update(key, now);
    if (bucket.balance < 1)
        return false;
    bucket.balance -= 1;
    return true;
}

void RetryBudget::refund(std::string_view key, TimePoint now)
{
    Bucket& bucket = update(key, now);
    bucket.balance = std::min(limit(bucket), bucket.balance + 1);
}

double RetryBudget::balance(std::string_view key, TimePoint now)
{
    return update(key, now).balance;
}

RetryBudget::Bucket& RetryBudget::update(std::string_view key, TimePoint now)
{
    auto found = m_buckets.find(key);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(key), Bucket()).first;
    Bucket& bucket = found->second;
    if (!bucket.hasExtra && m_extra > 0) {
        bucket.hasExtra = true;
        bucket.balance += m_extra;
    }
    while (!bucket.requests.empty() && bucket.requests.front() + m_settings.window <= now)
        bucket.requests.pop_front();
    bucket.balance = std::min(limit(bucket), bucket.balance);
    return bucket;
}

double RetryBudget::limit(const Bucket& bucket) const
{
    return balanceShare * m_settings.ratio * static_cast<double>(bucket.requests.size()) + m_extra;
}

} // namespace orioletrail
