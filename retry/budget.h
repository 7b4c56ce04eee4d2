// Limits the retries of all instances together to a share of their requests.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>

namespace orioletrail {

struct RetryBudgetSettings {
    // Retries per request, of all instances together.
    double ratio = 0.2;
    Millis window { 10'000 };
};

// The retry budget of one instance, with a balance for each key, such as a service. Every request
// adds to the balance and every retry takes 1 from it. A balance starts at 0 and never exceeds a
// small share of the requests in the last window, so an instance needs to know nothing of the
// others: in any window, all instances together grant at most
//
//     ratio * max(requests in that window, requests in the window before it) + sum of their extras
//
// retries, however the requests are spread, and whichever instances start, stop or restart. The
// part `1 - balanceShare` of the ratio is added by requests in the window; the part `balanceShare`
// limits the balances at its start.
class RetryBudget {
public:
    // Part of the ratio that may be saved for later.
    static constexpr double balanceShare = 0.25;

    explicit RetryBudget(const RetryBudgetSettings& settings = {})
        : m_settings(settings)
    {
    }

    // A request arrived; retries are not counted here.
    void onRequest(std::string_view key, TimePoint);

    // True if a retry is allowed now.
    bool hasRoom(std::string_view key, TimePoint);

    // Takes a retry from the balance and returns true, or returns false if there is none.
    bool tryRetry(std::string_view key, TimePoint);

    // Returns a retry that was taken and then not sent.
    void refund(std::string_view key, TimePoint);

    // Sets the number of retries that each balance may hold beyond its share of the requests. Every
    // balance gets them once, and regains them from requests after they are spent.
    void setExtra(double extra) { m_extra = extra; }

    // Number of retries allowed now, rounded down by hasRoom() and tryRetry().
    double balance(std::string_view key, TimePoint);

private:
    struct Bucket {
        double balance = 0;
        // The extra retries have been added to the balance.
        bool hasExtra = false;
        // Times of the requests in the window that ends now.
        std::deque<TimePoint> requests;
    };

    // Finds or adds the bucket of a key, and drops what has expired.
    Bucket& update(std::string_view key, TimePoint);
    double limit(const Bucket&) const;

    RetryBudgetSettings m_settings;
    double m_extra = 0;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace orioletrail
