#ifndef MARIGOLDSPOOL_LIB_FLEET_EXCHANGEATTEMPT_H
#define MARIGOLDSPOOL_LIB_FLEET_EXCHANGEATTEMPT_H

#include "Fleet/Exchange.h"

#include <string>

namespace marigoldspool {

/// Whole milliseconds of \p value, for log lines.
inline std::string millisecondsText(Duration value)
{
    using std::chrono::milliseconds;
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

/// Forwards the response to one attempt to the exchange until it is detached.
class Exchange::Attempt final : public EndpointCallHandler
{
public:
    enum class Role {
        Answer,
        Trial, ///< Another attempt is still expected to answer.
    };

    explicit Attempt(std::shared_ptr<Exchange> exchange, Role role = Role::Answer)
        : m_exchange(std::move(exchange))
        , m_role(role)
    { }

    void acceptTrial() { m_role = Role::Answer; }

    void detach() { m_exchange.reset(); }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        const auto exchange = m_exchange;
        if (exchange && (m_role == Role::Answer || exchange->onTrialHead(status, headers))) {
            exchange->onHead(status, headers);
        }
    }
    void onData(std::string_view bytes) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onData(bytes);
        }
    }
    bool takesData() const override { return !m_exchange || m_exchange->takesData(); }
    void onComplete() override
    {
        if (const auto exchange = m_exchange) {
            exchange->onComplete();
        }
    }
    void onCompleteAtClose() override
    {
        if (const auto exchange = m_exchange) {
            exchange->onCompleteAtClose();
        }
    }
    void onFailure(SendStage stage, Error error) override
    {
        const auto exchange = m_exchange;
        if (!exchange) {
            return;
        }
        if (m_role == Role::Trial) {
            exchange->onTrialFailure(stage, error);
        } else {
            exchange->onFailure(stage, error);
        }
    }

private:
    std::shared_ptr<Exchange> m_exchange;
    Role m_role;
};

} // namespace marigoldspool

#endif
