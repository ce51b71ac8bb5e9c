#include "Record.h"

#include <iostream>

namespace marigoldspool::review {

Record::Record(const std::string &path)
    : m_file(path)
{ }

Milliseconds Record::sinceStart(TimePoint at) const
{
    return std::chrono::duration_cast<Milliseconds>(at - m_start);
}

void Record::write(TimePoint at, const std::string &text)
{
    m_file << sinceStart(at).count() << " ms  " << text << std::endl;
}

void Record::note(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    write(Steady::now(), text);
    std::cout << sinceStart(Steady::now()).count() << " ms  " << text << std::endl;
}

void Record::addSent(const std::string &id, const std::string &node, const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Steady::now();
    m_sent[id] = {node, kind, now, 0, false};
    write(now, "sent " + id + " kind=" + kind + " to " + node);
}

void Record::addAnswer(const std::string &id, int status, bool isWhole)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Sent &sent = m_sent[id];
    sent.status = status;
    sent.isWhole = isWhole;
    write(Steady::now(),
          "answered " + id + " status=" + std::to_string(status) + (isWhole ? "" : " broken off"));
}

void Record::addArrival(const std::string &id, const std::string &replica, bool hasRun)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Steady::now();
    m_arrivals.push_back({now, id, replica, hasRun});
    write(now, (hasRun ? "ran " : "refused ") + id + " at " + replica);
}

std::map<std::string, Sent> Record::sent() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_sent;
}

std::vector<Arrival> Record::arrivals() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrivals;
}

} // namespace marigoldspool::review
