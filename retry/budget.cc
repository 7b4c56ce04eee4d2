#include "retry/budget.h"

#include <algorithm>

namespace orioletrail {

void RetryBudget::onSuccess(std::string_view account)
{
    m_total = std::min(m_settings.totalCap, m_total + m_settings.perSuccess);
    double& balance = balanceOf(account);
    balance = std::min(m_settings.accountCap, balance + m_settings.perSuccess);
}

bool RetryBudget::tryRetry(std::string_view account)
{
    double& balance = balanceOf(account);
    if (m_total < 1 || balance < 1)
        return false;
    m_total -= 1;
    balance -= 1;
    return true;
}

double& RetryBudget::balanceOf(std::string_view account)
{
    auto found = m_accounts.find(account);
    if (found == m_accounts.end())
        found = m_accounts.emplace(std::string(account), m_settings.accountCap).first;
    return found->second;
}

} // namespace orioletrail
