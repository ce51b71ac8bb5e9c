#ifndef MARIGOLDSPOOL_LIB_FLEET_EXCHANGEATTEMPT_H
#define MARIGOLDSPOOL_LIB_FLEET_EXCHANGEATTEMPT_H

#include "Fleet/Exchange.h"

namespace marigoldspool {

/// Forwards the response to one attempt to the exchange until it is detached.
class Exchange::Attempt final : public EndpointCallHandler
{
public:
    explicit Attempt(std::shared_ptr<Exchange> exchange)
        : m_exchange(std::move(exchange))
    { }

    void detach() { m_exchange.reset(); }

    void onHead(int status, gsl::span<const HeaderField> headers) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onHead(status, headers);
        }
    }
    void onData(std::string_view bytes) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onData(bytes);
        }
    }
    void onComplete() override
    {
        if (const auto exchange = m_exchange) {
            exchange->onComplete();
        }
    }
    void onFailure(SendStage stage, Error error) override
    {
        if (const auto exchange = m_exchange) {
            exchange->onFailure(stage, error);
        }
    }

private:
    std::shared_ptr<Exchange> m_exchange;
};

} // namespace marigoldspool

#endif
