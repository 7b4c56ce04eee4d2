// Limits retries to a fraction of recent successes, so that they cannot amplify an overload.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

struct RetryBudgetSettings {
    // Retries added to the balances by one success.
    double retriesPerSuccess = 0.2;
    // Upper limits of the balances, for all requests and for one account. Both start full.
    double maxTotal = 100;
    double maxPerAccount = 20;
};

// Keeps a balance of retries for all requests of an entry and one for each account.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetSettings& settings = {})
        : m_settings(settings)
        , m_totalBalance(settings.maxTotal)
    {
    }

    void onSuccess(std::string_view account);

    // Takes one retry from both balances and returns true, or leaves both unchanged and returns
    // false.
    bool tryRetry(std::string_view account);

private:
    double& balanceOf(std::string_view account);

    RetryBudgetSettings m_settings;
    double m_totalBalance;
    std::map<std::string, double, std::less<>> m_accountBalances;
};

} // namespace orioletrail
