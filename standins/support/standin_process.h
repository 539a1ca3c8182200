#pragma once

/// \file
/// \brief Helpers shared by the stand-in programs.

#include "core/endpoint.h"
#include "core/random.h"
#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <csignal>
#include <cstdint>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace baobabtrail::standins {

[[nodiscard]] inline TimePoint now()
{
    return TimePoint{
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// \brief Prints the line that scripts wait for: "ready NAME=PORT NAME=PORT".
inline void printReady(const std::vector<std::pair<std::string, std::uint16_t>> &ports)
{
    std::cout << "ready";
    for (const auto &[name, port] : ports)
        std::cout << ' ' << name << '=' << port;
    std::cout << std::endl; // Flush, since a script reads it through a pipe.
}

/// \brief Parses a flag of the form ADDRESS:PORT.
/// \throws std::invalid_argument if the text can't be parsed.
[[nodiscard]] inline Endpoint endpointFlag(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint)
        throw std::invalid_argument('"' + text + "\" is not an address with a port");
    return *endpoint;
}

/// \brief Invokes a callback on the first SIGTERM or SIGINT.
class StopSignal
{
public:
    StopSignal(boost::asio::io_context &context, std::function<void()> stop)
        : m_signals(context, SIGTERM, SIGINT)
    {
        m_signals.async_wait([stop = std::move(stop)](boost::system::error_code error, int) {
            if (!error)
                stop();
        });
    }

private:
    boost::asio::signal_set m_signals;
};

/// \brief Invokes a callback periodically.
class Ticker
{
public:
    Ticker(boost::asio::io_context &context, Duration period, std::function<void()> tick)
        : m_timer(context)
        , m_period(period)
        , m_tick(std::move(tick))
    {
        wait();
    }

private:
    void wait()
    {
        m_timer.expires_after(m_period);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            m_tick();
            wait();
        });
    }

    boost::asio::steady_timer m_timer;
    Duration m_period;
    std::function<void()> m_tick;
};

/// \return True with the given probability.
[[nodiscard]] inline bool chance(Random &random, double probability)
{
    return probability > 0 && boost::random::uniform_01<double>{}(random) < probability;
}

/// \return A duration drawn from an exponential distribution with the given mean.
[[nodiscard]] inline Duration exponential(Random &random, Duration mean)
{
    const double scale = boost::random::exponential_distribution<double>{1.0}(random);
    return Duration{static_cast<std::int64_t>(static_cast<double>(mean.count()) * scale)};
}

} // namespace baobabtrail::standins
