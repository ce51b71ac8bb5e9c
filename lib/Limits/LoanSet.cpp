#include "marigoldspool/Limits/LoanSet.h"

#include <algorithm>

namespace marigoldspool {

void LoanSet::add(Loan loan)
{
    const auto it =
        std::upper_bound(m_loans.begin(), m_loans.end(), loan, [](const Loan &a, const Loan &b) {
            return a.peer < b.peer;
        });
    m_loans.insert(it, std::move(loan));
}

const Loan *LoanSet::find(const InstanceId &peer, std::uint64_t id) const
{
    const auto it = std::find_if(m_loans.begin(), m_loans.end(), [&](const Loan &loan) {
        return loan.id == id && loan.peer == peer;
    });
    return it != m_loans.end() ? &*it : nullptr;
}

bool LoanSet::remove(const InstanceId &peer, std::uint64_t id)
{
    const Loan *loan = find(peer, id);
    if (loan == nullptr) {
        return false;
    }
    m_loans.erase(m_loans.begin() + (loan - m_loans.data()));
    return true;
}

void LoanSet::removeExpired(SteadyTime now)
{
    m_loans.erase(std::remove_if(m_loans.begin(), m_loans.end(),
                                 [&](const Loan &loan) {
                                     return loan.end <= now;
                                 }),
                  m_loans.end());
}

double LoanSet::fractionAfter(SteadyTime at) const
{
    double sum = 0;
    for (std::size_t i = 0; i < m_loans.size();) {
        double largest = 0;
        const InstanceId &peer = m_loans[i].peer;
        std::size_t j = i;
        for (; j < m_loans.size() && m_loans[j].peer == peer; ++j) {
            if (m_loans[j].end > at) {
                largest = std::max(largest, m_loans[j].fraction);
            }
        }
        sum += largest;
        i = j;
    }
    return sum;
}

double LoanSet::fractionWith(const InstanceId &peer, SteadyTime at) const
{
    double largest = 0;
    for (const Loan &loan : m_loans) {
        if (loan.peer == peer && loan.end > at) {
            largest = std::max(largest, loan.fraction);
        }
    }
    return largest;
}

double LoanSet::tokensAfter(SteadyTime at, double burst) const
{
    double sum = 0;
    for (const Loan &loan : m_loans) {
        if (loan.end <= at || loan.tokens <= 0) {
            continue;
        }
        const double tokens = loan.tokens * (burst < loan.burst ? burst / loan.burst : 1);
        sum += loan.tokensIncluded ? std::max(0.0, tokens - loan.fraction * burst) : tokens;
    }
    return sum;
}

std::optional<SteadyTime> LoanSet::nextEnd() const
{
    std::optional<SteadyTime> next;
    for (const Loan &loan : m_loans) {
        if (!next || loan.end < *next) {
            next = loan.end;
        }
    }
    return next;
}

std::vector<std::pair<InstanceId, SteadyTime>> LoanSet::fractionEnds() const
{
    std::vector<std::pair<InstanceId, SteadyTime>> ends;
    for (const Loan &loan : m_loans) {
        if (loan.fraction <= 0) {
            continue;
        }
        if (!ends.empty() && ends.back().first == loan.peer) {
            ends.back().second = std::max(ends.back().second, loan.end);
        } else {
            ends.emplace_back(loan.peer, loan.end);
        }
    }
    return ends;
}

} // namespace marigoldspool
