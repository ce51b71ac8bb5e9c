#ifndef MARIGOLDSPOOL_REVIEW_STANDINS2_FLEET_H
#define MARIGOLDSPOOL_REVIEW_STANDINS2_FLEET_H

#include "Replica.h"

namespace review {

constexpr const char *Host = "coros.example";
constexpr const char *ApiKey = "key-of-the-parishes";
constexpr const char *SchoolKey = "key-of-the-school";
constexpr const char *EngineService = "modelos-plan";
constexpr const char *AppService = "reservas-app";
constexpr const char *Model = "m0";
constexpr const char *RareModel = "m1";
constexpr const char *StreamPrefix = "/borrador/";
constexpr const char *LookupPrefix = "/consulta/";

/// A route with the figures of borrador-asientos.
Json streamRoute(const std::string &service);
/// A route with the figures of consulta-plano.
Json lookupRoute();
/// The first configuration, with both services of the site, two models and two tenants.
Json configuration(const Json &routes);

/// One client attempt.
struct Attempt {
    std::string id;
    Clock::time_point sentAt;
    Answer answer;
};

/// A request of a client for a stream, as the protocol's example has it. Without a last event, a
/// new stream; with one, that begun by the attempt \p resumes is taken up.
Request streamRequest(const std::string &id, const std::string &parts, int lastEvent = 0,
                      const std::string &resumes = {});
/// The same for another model and key.
Request streamRequestFor(const std::string &model, const std::string &key, const std::string &id,
                         const std::string &parts);
Request lookupRequest(const std::string &id, const std::string &path);
/// Sends the request and records what was sent and answered.
Attempt sendTo(Record &record, const Node &node, const Request &request, Milliseconds limit);

/// Sends requests from threads of their own.
class Clients
{
public:
    explicit Clients(Record &record)
        : m_record(record)
    { }
    ~Clients();

    void send(const Node &node, const Request &request, Milliseconds limit);
    /// Waits until all have ended; returns their attempts.
    std::vector<Attempt> finish();

private:
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<std::thread> m_threads;
};

} // namespace review

#endif
