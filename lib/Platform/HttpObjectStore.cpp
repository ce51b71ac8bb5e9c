#include "marigoldspool/Platform/HttpObjectStore.h"

#include "ObjectJson.h"
#include "marigoldspool/Platform/StoreConnectionPool.h"
#include "marigoldspool/Support/IpAddress.h"

#include <cassert>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace marigoldspool {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// A few connections suffice: one instance's fair share of the store's call rate is small.
constexpr std::size_t MaxCallConnections = 4;
// A pending watch occupies its connection; an instance watches only a few prefixes.
constexpr std::size_t MaxWatchConnections = 32;

class HttpObjectStore final : public ObjectStore
{
public:
    HttpObjectStore(boost::asio::io_context &io, const tcp::endpoint &server, Duration timeout,
                    Metrics &metrics)
        : m_timeout(timeout)
        , m_metrics(metrics)
        , m_calls(std::make_shared<StoreConnectionPool>(io, server, MaxCallConnections))
        , m_watches(std::make_shared<StoreConnectionPool>(io, server, MaxWatchConnections))
        , m_io(io)
    { }

    ~HttpObjectStore() override
    {
        m_calls->close();
        m_watches->close();
    }

    void get(std::string_view key, Callback<StoredObject> done) override
    {
        call<StoredObject>("get", makeRead("/objects/" + percentEncode(key, false)), readObject,
                           std::move(done));
    }

    void put(std::string_view key, std::uint64_t expectedVersion, std::string value,
             WriteId writeId, Callback<std::uint64_t> done) override
    {
        Expected<std::string> body = value.size() > MaxObjectBytes
            ? unexpectedError(ErrorKind::TooLarge,
                              "the value has " + std::to_string(value.size()) + " bytes",
                              "split the value into objects of at most 1 MiB")
            : writePutBody(expectedVersion, value, writeId);
        if (!body) {
            boost::asio::post(m_io,
                              [pool = std::weak_ptr<StoreConnectionPool>(m_calls),
                               done = std::move(done), error = body.error()]() {
                                  if (!pool.expired()) {
                                      done(tl::unexpected<Error>(error));
                                  }
                              });
            return;
        }
        HttpCall request = makeWrite(http::verb::put, "/objects/" + percentEncode(key, false));
        request.body = std::move(*body);
        call<std::uint64_t>("put", std::move(request), readVersion, std::move(done));
    }

    void remove(std::string_view key, std::uint64_t expectedVersion,
                Callback<std::uint64_t> done) override
    {
        call<std::uint64_t>("remove",
                            makeWrite(http::verb::delete_,
                                      "/objects/" + percentEncode(key, false)
                                          + "?expected_version=" + std::to_string(expectedVersion)),
                            readVersion, std::move(done));
    }

    void list(std::string_view prefix, Callback<ListResult> done) override
    {
        call<ListResult>("list", makeRead("/list?prefix=" + percentEncode(prefix, true)), readList,
                         std::move(done));
    }

    void watch(std::string_view prefix, std::uint64_t fromRevision, Duration wait,
               Callback<WatchBatch> done) override
    {
        HttpCall request = makeRead("/watch?prefix=" + percentEncode(prefix, true)
                                    + "&from=" + std::to_string(fromRevision)
                                    + "&wait_ms=" + std::to_string(toMilliseconds(wait)));
        request.deadline += wait;
        call<WatchBatch>("watch", std::move(request), readWatchBatch, std::move(done));
    }

    void instances(Callback<std::vector<PlatformInstance>> done) override
    {
        call<std::vector<PlatformInstance>>("instances", makeRead("/instances"), readInstances,
                                            std::move(done));
    }

private:
    HttpCall makeRead(std::string target) const
    {
        HttpCall request;
        request.target = std::move(target);
        request.deadline = std::chrono::steady_clock::now() + m_timeout;
        return request;
    }

    HttpCall makeWrite(http::verb verb, std::string target) const
    {
        HttpCall request = makeRead(std::move(target));
        request.verb = verb;
        request.isWrite = true;
        return request;
    }

    // Capturing this is safe: the destructor closes the pools, which cancels their calls.
    template <class T>
    void call(std::string_view kind, HttpCall request, Expected<T> (*decode)(std::string_view),
              Callback<T> done)
    {
        request.done = [this, kind, decode, isWrite = request.isWrite,
                        done = std::move(done)](Expected<StoreAnswer> answer) {
            Expected<T> result = decodeAnswer(std::move(answer), isWrite, decode);
            countCall(kind, result ? "ok" : errorKindName(result.error().kind));
            done(std::move(result));
        };
        (kind == "watch" ? m_watches : m_calls)->submit(std::move(request));
    }

    template <class T>
    static Expected<T> decodeAnswer(Expected<StoreAnswer> answer, bool isWrite,
                                    Expected<T> (*decode)(std::string_view))
    {
        if (!answer) {
            return tl::unexpected<Error>(std::move(answer.error()));
        }
        if (answer->status != 200) {
            return tl::unexpected<Error>(storeStatusError(answer->status, isWrite));
        }
        Expected<T> result = decode(answer->body);
        if (!result && isWrite) {
            result.error().kind = ErrorKind::OutcomeUnknown;
        }
        return result;
    }

    void countCall(std::string_view kind, std::string_view outcome)
    {
        m_metrics.add("marigoldspool_store_calls_total", 1,
                      {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}});
    }

    Duration m_timeout;
    Metrics &m_metrics;
    std::shared_ptr<StoreConnectionPool> m_calls;
    std::shared_ptr<StoreConnectionPool> m_watches;
    boost::asio::io_context &m_io;
};

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &io,
                                                 std::string_view address, Duration timeout,
                                                 Metrics &metrics)
{
    const Expected<IpAddress> parsed = splitAddress(address);
    // The address was validated with the settings, so an invalid one here is a bug.
    assert(parsed && "the address must have been validated");
    const tcp::endpoint server(boost::asio::ip::make_address(parsed->host), parsed->port);
    return std::make_unique<HttpObjectStore>(io, server, timeout, metrics);
}

} // namespace marigoldspool
