#ifndef MARIGOLDSPOOL_REVIEW_STANDINS_RECORD_H
#define MARIGOLDSPOOL_REVIEW_STANDINS_RECORD_H

#include "Net.h"

#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldspool::review {

/// What a client sent and got.
struct Sent {
    std::string node;
    std::string kind;
    TimePoint at;
    /// 0 as long as no answer has come.
    int status = 0;
    bool isWhole = false;
};

/// A request that a replica has read.
struct Arrival {
    TimePoint at;
    std::string id;
    std::string replica;
    /// False if the replica has refused it without running it.
    bool hasRun = false;
};

/// Everything that clients, replicas and the platform see, also as lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path);

    void note(const std::string &text);
    void addSent(const std::string &id, const std::string &node, const std::string &kind);
    void addAnswer(const std::string &id, int status, bool isWhole);
    void addArrival(const std::string &id, const std::string &replica, bool hasRun);

    std::map<std::string, Sent> sent() const;
    std::vector<Arrival> arrivals() const;
    Milliseconds sinceStart(TimePoint at) const;

private:
    void write(TimePoint at, const std::string &text);

    TimePoint m_start = Steady::now();
    mutable std::mutex m_mutex;
    std::ofstream m_file;
    std::map<std::string, Sent> m_sent;
    std::vector<Arrival> m_arrivals;
};

} // namespace marigoldspool::review

#endif
