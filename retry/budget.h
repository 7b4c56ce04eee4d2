// Bounds retries to a fraction of recent successes, so that they cannot multiply an overload.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

struct RetryBudgetSettings {
    // Retries earned by one success.
    double perSuccess = 0.2;
    // Retries that can be saved up, in total and for one account.
    double totalCap = 100;
    double accountCap = 20;
};

// Holds one balance for all requests of an entry and one for each account.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& settings = {})
        : m_settings(settings)
        , m_total(settings.totalCap)
    {
    }

    void onSuccess(std::string_view account);

    // Takes one retry from both balances, or from neither.
    bool tryRetry(std::string_view account);

private:
    double& balanceOf(std::string_view account);

    RetryBudgetSettings m_settings;
    double m_total;
    std::map<std::string, double, std::less<>> m_accounts;
};

} // namespace orioletrail
