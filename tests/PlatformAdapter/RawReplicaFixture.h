#ifndef MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_RAWREPLICAFIXTURE_H
#define MARIGOLDSPOOL_TESTS_PLATFORMADAPTER_RAWREPLICAFIXTURE_H

#include "Gateway/Harness.h"
#include "RequestPathFixture.h"

namespace marigoldspool {

inline const std::string EchoField = "X-Marigoldspool-Request-Id: ";
inline const std::string NotRunField = "X-Marigoldspool-Not-Run: 1\r\n";
inline const std::string SealField = "X-Marigoldspool-Replica-Seal: seal\r\n";

inline const std::string Body = "id: 1\ndata: x\n\n";

inline std::string answerText(const std::string &status, const std::string &fields,
                              const std::string &body = {})
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// A replica and an engine whose answers the tests write byte for byte, and a replica in another
/// zone that is used when the first one refuses.
class RawReplicaFixture : public RequestPathFixture
{
public:
    RawReplicaFixture()
    {
        StandinReplica &other = addReplica("i-2", "app", answerOk);
        auto entry = other.entry("app");
        entry["zone"] = "z2";
        store.put("servers", "i-2", entry);
        callUntilStatus(200, "/app/x");
        entry["zone"] = "z1";
        entry["addr"] = raw.address();
        store.put("servers", "i-1", entry);
        other.models = {"m"};
        entry = other.entry("llm");
        entry["addr"] = raw.address();
        store.put("servers", "i-3", entry);
        // Wait until the entries are known.
        run(std::chrono::seconds(1));
    }

    void run(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    std::string currentId() const { return "r" + std::to_string(requests); }

    // The connections on which the current request has come, in the order of their opening.
    std::vector<RawSocket *> carriers()
    {
        std::vector<RawSocket *> found;
        for (std::size_t i = 0; i < raw.connections(); ++i) {
            if (raw.connection(i).hasReceived(EchoField + currentId() + "\r\n")) {
                found.push_back(&raw.connection(i));
            }
        }
        return found;
    }

    RawSocket &waitForRequest()
    {
        REQUIRE(runUntil(io, [this] {
            return !carriers().empty();
        }));
        return *carriers().front();
    }

    void waitForEnd(const CallerAnswer &answer)
    {
        REQUIRE(runUntil(io, [&answer] {
            return answer.ended;
        }));
    }

    // Refuses each attempt of the current request until the caller gets an answer, and returns the
    // connections that carried a refusal.
    std::vector<RawSocket *> refuseUntilEnd(const CallerAnswer &answer)
    {
        std::vector<RawSocket *> refused;
        REQUIRE(runUntil(io, [this, &answer, &refused] {
            for (RawSocket *carrier : carriers()) {
                carrier->clearReceived();
                carrier->send(refusal());
                refused.push_back(carrier);
            }
            return answer.ended;
        }));
        return refused;
    }

    // Sends an order and returns the connection on which it has come.
    RawSocket &order(const std::shared_ptr<CallerAnswer> &answer, const std::string &holder)
    {
        ListedEndpoint engine;
        engine.id = EndpointId("i-3");
        engine.address = raw.address();
        EndpointCall call = codec.encodeOrder(engine, PlacementOrder(), InstanceId(holder), 1, 0);
        call.id = RequestId(holder);
        client->call(std::move(call), std::make_shared<CallerHandler>(answer));
        RawSocket *carrier = nullptr;
        REQUIRE(runUntil(io, [&] {
            for (std::size_t i = 0; carrier == nullptr && i < raw.connections(); ++i) {
                carrier = raw.connection(i).hasReceived(holder) ? &raw.connection(i) : nullptr;
            }
            return carrier != nullptr;
        }));
        return *carrier;
    }

    std::string ownAnswer() const
    {
        return answerText("200 OK", EchoField + currentId() + "\r\n" + SealField, Body);
    }

    std::string refusal() const
    {
        return answerText("503 Busy", EchoField + currentId() + "\r\n" + NotRunField);
    }

    RawListener raw;
};

} // namespace marigoldspool

#endif
