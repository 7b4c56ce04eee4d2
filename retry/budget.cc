#include "retry/budget.h"

#include <algorithm>

namespace orioletrail {

void RetryBudget::onSuccess(std::string_view account)
{
    m_totalBalance = std::min(m_settings.maxTotal, m_totalBalance + m_settings.retriesPerSuccess);
    double& balance = balanceOf(account);
    balance = std::min(m_settings.maxPerAccount, balance + m_settings.retriesPerSuccess);
}

bool RetryBudget::tryRetry(std::string_view account)
{
    double& balance = balanceOf(account);
    if (m_totalBalance < 1 || balance < 1)
        return false;
    m_totalBalance -= 1;
    balance -= 1;
    return true;
}

double& RetryBudget::balanceOf(std::string_view account)
{
    auto found = m_accountBalances.find(account);
    if (found == m_accountBalances.end())
        found = m_accountBalances.emplace(std::string(account), m_settings.maxPerAccount).first;
    return found->second;
}

} // namespace orioletrail
