#include "Fleet/DutyDriver.h"

#include "Fleet/EngineCalls.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration FirstPause = milliseconds(250);
constexpr Duration MaxPause = milliseconds(2000);

bool isSuccess(const Expected<int> &status)
{
    return status && *status >= 200 && *status < 300;
}

// The subject of a duty is its name, with a detail after a slash.
std::string dutyName(const OrderSubject &subject)
{
    const std::string &text = subject.str();
    const std::size_t begin = text.find(':') + 1;
    return text.substr(begin, text.find('/') - begin);
}

std::string outcomeName(const Expected<int> &status)
{
    constexpr int TooManyRequests = 429;
    if (isSuccess(status)) {
        return "accepted";
    }
    if (status) {
        return *status == TooManyRequests ? "rate_limited" : "rejected";
    }
    return status.error().kind == ErrorKind::Unavailable ? "not_sent" : "unanswered";
}

} // namespace

/// Passes on the status of one call.
class DutyDriver::Handler final : public EndpointCallHandler
{
public:
    explicit Handler(Callback<int> done)
        : m_done(std::move(done))
    { }

    void onHead(int status, gsl::span<const HeaderField> /*headers*/) override
    {
        m_status = status;
    }
    void onData(std::string_view /*bytes*/) override { }
    void onComplete() override { m_done(m_status); }
    void onFailure(SendStage stage, Error error) override
    {
        error.kind =
            stage == SendStage::NotSent ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown;
        m_done(tl::make_unexpected(std::move(error)));
    }

private:
    Callback<int> m_done;
    int m_status = 0;
};

// With a capacity of one call, a new holder adds at most one call to those of its predecessor.
DutyDriver::DutyDriver(FleetRuntime &runtime, OwnerLease &lease)
    : m_runtime(runtime)
    , m_lease(lease)
    , m_rate(runtime.options.duties ? runtime.options.duties->callsPerSecond : 0, 1, 1,
             runtime.clock.now())
{ }

bool DutyDriver::hasRate() const
{
    return m_runtime.options.duties->callsPerSecond <= 0
        || m_rate.level(m_runtime.clock.now()) >= 1;
}

// The API doesn't tell orders of an earlier process of this instance from later ones, as engines
// do by the number of orders that they have accepted.
bool DutyDriver::canCall(const OrderSubject &subject) const
{
    if (!m_runtime.options.duties || !m_lease.canOrder(subject)
        || m_lease.mayOrderArrive(subject)) {
        return false;
    }
    const auto found = m_subjects.find(subject);
    const bool isFree = found == m_subjects.end()
        || (!found->second.isOpen && m_runtime.clock.now() >= found->second.pausedUntil);
    return isFree && hasRate();
}

void DutyDriver::call(const OrderSubject &subject, EndpointCall call, Callback<int> done)
{
    if (!canCall(subject)) {
        boost::asio::post(m_runtime.io, [done = std::move(done)] {
            done(unexpectedError(ErrorKind::Unavailable, "this instance may not send the call now",
                                 "wait until it may"));
        });
        return;
    }
    m_subjects[subject].isOpen = true;
    m_rate.tryTake(1, m_runtime.clock.now());
    m_lease.onOrder(subject);
    prepareEngineCall(call, "duty-" + std::to_string(++m_callCounter));
    m_runtime.endpoints->call(
        std::move(call),
        std::make_shared<Handler>(
            [this, subject, token = token(), done = std::move(done)](const Expected<int> &status) {
                onAnswer(subject, token, status);
                done(status);
            }));
}

void DutyDriver::onAnswer(const OrderSubject &subject, std::uint64_t token,
                          const Expected<int> &status)
{
    SubjectState &state = m_subjects[subject];
    state.isOpen = false;
    m_runtime.metrics->add("marigoldspool_duty_calls_total", 1,
                           {{"duty", dutyName(subject)}, {"outcome", outcomeName(status)}});
    if (isSuccess(status)) {
        state.pause = Duration::zero();
        return;
    }
    state.pause = std::clamp(state.pause * 2, FirstPause, MaxPause);
    state.pausedUntil = m_runtime.clock.now() + state.pause;
    logEvent(LogLevel::Warning, "duty_call_failed",
             {{"subject", subject.str()},
              {"token", std::to_string(token)},
              {"status", status ? std::to_string(*status) : "none"},
              {"error", status ? std::string() : describeError(status.error())}});
}

} // namespace marigoldspool
