#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Amounts within one slice are kept as one, so a window has a bounded number of them.
constexpr Duration SliceLength = milliseconds(250);
// Reports come four times a second; an instance that has missed several is counted with its share.
constexpr Duration HeardWithin = milliseconds(1200);
// What others use is looked up again after this time.
constexpr Duration LookInterval = milliseconds(100);
// With more than this part of the bound left, what all instances could admit before they hear of
// each other stays within the tolerance of the bound, so the room need not be divided.
constexpr double AmpleRoom = 0.25;
// The least part of an even share that an instance with little demand keeps.
constexpr double LeastPart = 0.3;
constexpr Duration DemandWindow = std::chrono::seconds(2);
constexpr Duration ShortestRetry = milliseconds(300);
constexpr Duration LongestRetry = milliseconds(4000);

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void WorkspaceQuota::Window::add(double amount, SteadyTime now)
{
    if (m_slices.empty() || now - m_slices.back().first >= SliceLength) {
        m_slices.emplace_back(now, 0);
    }
    m_slices.back().second += amount;
    m_sum += amount;
}

double WorkspaceQuota::Window::sum(SteadyTime now, Duration window)
{
    // A slice counts until its last amount has left the window.
    while (!m_slices.empty() && m_slices.front().first + SliceLength + window <= now) {
        m_sum -= m_slices.front().second;
        m_slices.pop_front();
    }
    return m_slices.empty() ? m_sum = 0 : m_sum;
}

WorkspaceQuota::WorkspaceQuota(const Clock &clock, QuotaBound bound)
    : m_clock(clock)
    , m_bound(bound)
    , m_startedAt(clock.now())
{ }

void WorkspaceQuota::setConfiguration(ServingConfigurationPtr configuration)
{
    m_limits.clear();
    for (const ServedWorkspace &workspace : configuration->workspaces) {
        if (workspace.rate > 0) {
            m_limits[workspace.name] = {workspace.rate, workspace.burst};
        }
    }
    m_rooms.clear();
}

double WorkspaceQuota::bound(const Limit &limit) const
{
    return limit.rate * secondsOf(m_bound.window) + limit.burst;
}

// Before its start this instance may have used its even share; that leaves the window with time.
// Without this, instances that restart again and again would get their shares anew each time.
double WorkspaceQuota::startCharge(const Limit &limit, SteadyTime now) const
{
    const double left = 1 - secondsOf(now - m_startedAt) / secondsOf(m_bound.window);
    return std::max(left, 0.0) * bound(limit) / static_cast<double>(m_instances);
}

bool WorkspaceQuota::isHeard(const Peer &peer, SteadyTime now) const
{
    return now - peer.heardAt < HeardWithin;
}

void WorkspaceQuota::look(const WorkspaceName &workspace, const Limit &limit, Room &room,
                          SteadyTime now)
{
    Usage &own = m_own[workspace];
    const double whole = bound(limit);
    const double evenShare = whole / static_cast<double>(m_instances);
    const double ownUsed = own.used.sum(now, m_bound.window);
    const double ownAsked = own.asked.sum(now, DemandWindow);
    double others = 0;
    double othersAsked = 0;
    double unheard = 0;
    std::size_t heard = 0;
    if (m_totalsMembers > 0 && now - m_totalsAt < HeardWithin) {
        heard = m_totalsMembers - 1;
        others = std::max(0.0, m_totals[workspace].used - ownUsed);
        othersAsked = std::max(0.0, m_totals[workspace].asked - ownAsked);
    } else {
        for (auto &[id, peer] : m_peers) {
            Usage &usage = peer.usage[workspace];
            if (!isHeard(peer, now)) {
                unheard += usage.used.sum(now, m_bound.window);
                continue;
            }
            ++heard;
            others += usage.used.sum(now, m_bound.window);
            othersAsked += usage.asked.sum(now, DemandWindow);
        }
    }
    const std::size_t silent = m_instances > heard + 1 ? m_instances - heard - 1 : 0;
    // What an instance used before it fell silent or left still lies in the window.
    others += std::max(unheard, static_cast<double>(silent) * evenShare);
    const double left = whole - others - ownUsed - startCharge(limit, now);
    room.at = now;
    room.divided = heard > 0 && left < AmpleRoom * whole;
    room.left = left;
    if (room.divided && left > 0) {
        const double asked = ownAsked + othersAsked;
        const double even = 1.0 / static_cast<double>(heard + 1);
        const double part = asked > 0 ? ownAsked / asked : even;
        room.left = left * std::max(part, LeastPart * even);
    }
}

std::optional<Duration> WorkspaceQuota::take(const WorkspaceName &workspace, double cost)
{
    const auto limit = m_limits.find(workspace);
    if (limit == m_limits.end()) {
        return std::nullopt;
    }
    const SteadyTime now = m_clock.now();
    Usage &own = m_own[workspace];
    own.askedCounter += cost;
    own.asked.add(cost, now);
    Room &room = m_rooms[workspace];
    if (now - room.at >= LookInterval) {
        const double debt = room.divided ? std::min(room.left, 0.0) : 0;
        look(workspace, limit->second, room, now);
        if (room.divided) {
            room.left += debt;
        }
    }
    // A request may pass the room that is left by its own size, or large ones would never pass.
    if (room.left > 0) {
        room.left -= cost;
        own.usedCounter += cost;
        own.used.add(cost, now);
        return std::nullopt;
    }
    // The more is asked beyond the rate, the longer the callers have to spread.
    const double asked = own.asked.sum(now, DemandWindow) / secondsOf(DemandWindow);
    const double share = limit->second.rate / static_cast<double>(m_instances);
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(share > 0 ? asked / share : 0) / 2);
    return std::clamp<Duration>(wait, ShortestRetry, LongestRetry);
}

UsageReport WorkspaceQuota::report() const
{
    UsageReport report;
    for (const auto &[workspace, usage] : m_own) {
        report.workspaces.push_back({workspace, usage.usedCounter, usage.askedCounter});
    }
    return report;
}

void WorkspaceQuota::onReport(const InstanceId &from, std::uint64_t incarnation,
                              const UsageReport &report)
{
    const SteadyTime now = m_clock.now();
    Peer &peer = m_peers[from];
    if (peer.incarnation != incarnation) {
        // Counters begin anew; what the run before used still counts in its window.
        peer.incarnation = incarnation;
        for (auto &[workspace, usage] : peer.usage) {
            usage.usedCounter = 0;
            usage.askedCounter = 0;
        }
    }
    peer.heardAt = now;
    for (const WorkspaceUsage &item : report.workspaces) {
        Usage &usage = peer.usage[item.workspace];
        usage.used.add(std::max(0.0, item.used - usage.usedCounter), now);
        usage.asked.add(std::max(0.0, item.asked - usage.askedCounter), now);
        usage.usedCounter = item.used;
        usage.askedCounter = item.asked;
    }
}

UsageTotals WorkspaceQuota::totals()
{
    const SteadyTime now = m_clock.now();
    UsageTotals totals;
    totals.members = 1;
    std::map<WorkspaceName, Total> sums;
    for (auto &[workspace, usage] : m_own) {
        sums[workspace].used += usage.used.sum(now, m_bound.window);
        sums[workspace].asked += usage.asked.sum(now, DemandWindow);
    }
    for (auto &[id, peer] : m_peers) {
        totals.members += isHeard(peer, now) ? 1 : 0;
        for (auto &[workspace, usage] : peer.usage) {
            if (isHeard(peer, now)) {
                sums[workspace].used += usage.used.sum(now, m_bound.window);
                sums[workspace].asked += usage.asked.sum(now, DemandWindow);
            }
        }
    }
    for (const auto &[workspace, sum] : sums) {
        totals.workspaces.push_back({workspace, sum.used, sum.asked});
    }
    return totals;
}

void WorkspaceQuota::onTotals(const UsageTotals &totals)
{
    m_totalsAt = m_clock.now();
    m_totalsMembers = static_cast<std::size_t>(totals.members);
    m_totals.clear();
    for (const WorkspaceUsage &item : totals.workspaces) {
        m_totals[item.workspace] = {item.used, item.asked};
    }
}

} // namespace marigoldspool
