#pragma once

#include "core/evidence/evidence_exchange.h"
#include "core/random.h"
#include "support/generate.h"
#include "support/virtual_time.h"
#include "wire/evidence_form.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail::test {

/// \brief Many daemons that exchange reports about targets over a network of datagrams, in virtual
/// time.
///
/// The first ones are the roots; each daemon has up to four followers.
class EvidenceFleet
{
public:
    static constexpr Duration Hop = 500us;
    static constexpr std::size_t Roots = 3;
    static constexpr std::size_t Followers = 4;
    static constexpr std::size_t Domains = 5;

    explicit EvidenceFleet(std::size_t daemons, std::uint64_t seed = 1)
        : m_random(seed)
    {
        m_daemons.resize(daemons);
        for (std::size_t index = 0; index < daemons; ++index)
            m_daemons[index].neighbours = neighboursOf(index);
        for (std::size_t index = 0; index < daemons; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        daemon.life = std::make_shared<bool>(true);
        ++daemon.incarnation;
        daemon.exchange = std::make_unique<EvidenceExchange>(EvidenceSettings{}, callbacks(index),
                                                             "d" + std::to_string(index % Domains),
                                                             ReporterId{m_random()});
        expireLater(index);
    }
    void kill(std::size_t index)
    {
        m_daemons[index].life.reset();
        m_daemons[index].exchange.reset();
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    [[nodiscard]] EvidenceExchange &at(std::size_t index) { return *m_daemons[index].exchange; }
    /// \return The first daemons of a failure domain, that number of them.
    [[nodiscard]] std::vector<std::size_t> daemonsOf(std::size_t domain, std::size_t count) const
    {
        std::vector<std::size_t> out;
        for (std::size_t index = domain; index < size() && out.size() < count; index += Domains)
            out.push_back(index);
        return out;
    }
    /// \return Number of daemons of the domain that know enough of the target to avoid it.
    [[nodiscard]] std::size_t avoiding(TargetId target, std::size_t domain)
    {
        std::size_t out = 0;
        for (const std::size_t index : daemonsOf(domain, size()))
            out += m_daemons[index].exchange && at(index).isReportedSilent(target);
        return out;
    }
    [[nodiscard]] std::uint64_t messages() const
    {
        std::uint64_t out = 0;
        for (const Daemon &daemon : m_daemons)
            out += daemon.messages;
        return out;
    }
    [[nodiscard]] std::uint64_t mostBytes() const
    {
        std::uint64_t out = 0;
        for (const Daemon &daemon : m_daemons)
            out = std::max(out, daemon.bytes);
        return out;
    }
    /// \return Number of daemons that were told of a target first by others.
    [[nodiscard]] std::size_t firstReported() const noexcept { return m_firstReported; }

    VirtualTime time;
    double loss = 0; ///< Share of the datagrams that are lost.
    std::set<std::size_t> cut;

private:
    struct Daemon
    {
        std::unique_ptr<EvidenceExchange> exchange;
        std::shared_ptr<bool> life;
        std::vector<Endpoint> neighbours;
        std::uint64_t incarnation = 0;
        std::uint64_t messages = 0; ///< Sent.
        std::uint64_t bytes = 0;    ///< Sent.
    };

    [[nodiscard]] static Endpoint addressOf(std::size_t index)
    {
        return {0x0A010000U + static_cast<std::uint32_t>(index), 7720};
    }
    [[nodiscard]] static std::size_t indexOf(const Endpoint &daemon)
    {
        return daemon.address - addressOf(0).address;
    }
    [[nodiscard]] std::vector<Endpoint> neighboursOf(std::size_t index) const
    {
        std::vector<Endpoint> out;
        for (std::size_t root = 0; index < Roots && root < Roots; ++root) {
            if (root != index)
                out.push_back(addressOf(root));
        }
        if (index >= Roots)
            out.push_back(addressOf((index - Roots) / Followers));
        for (std::size_t child = 0; child < Followers; ++child) {
            const std::size_t follower = Roots + index * Followers + child;
            if (follower < size())
                out.push_back(addressOf(follower));
        }
        return out;
    }

    void later(std::size_t index, Duration wait, std::function<void()> event)
    {
        time.after(wait, [event = std::move(event), life = std::weak_ptr{m_daemons[index].life}] {
            if (!life.expired())
                event();
        });
    }
    void expireLater(std::size_t index)
    {
        later(index, 1s, [this, index] {
            at(index).expire();
            expireLater(index);
        });
    }

    void send(std::size_t from, const Endpoint &peer, const EvidenceMessage &message)
    {
        const std::size_t to = indexOf(peer);
        const std::string bytes = wire::encodeEvidence(message);
        ++m_daemons[from].messages;
        m_daemons[from].bytes += bytes.size();
        const bool lost = loss > 0 && draw(m_random, 0, 999) < loss * 1000;
        if (lost || !m_daemons[to].exchange || cut.contains(from) || cut.contains(to))
            return;
        later(to, Hop, [this, from, to, bytes] {
            if (const auto read = wire::decodeEvidence(bytes))
                at(to).handle(addressOf(from), *read, time.now());
        });
    }

    [[nodiscard]] EvidenceCallbacks callbacks(std::size_t index)
    {
        EvidenceCallbacks out;
        out.now = [this] { return time.now(); };
        out.after = [this, index](Duration wait, std::function<void()> call) {
            later(index, wait, std::move(call));
        };
        out.send = [this, index](const Endpoint &peer, const EvidenceMessage &message) {
            send(index, peer, message);
        };
        out.neighbours = [this, index] {
            std::vector<TreeNeighbour> neighbours;
            for (const Endpoint &address : m_daemons[index].neighbours)
                neighbours.push_back({address, m_daemons[indexOf(address)].incarnation});
            return neighbours;
        };
        out.firstReported = [this](TargetId) { ++m_firstReported; };
        out.changed = [](TargetId) {};
        return out;
    }

    Random m_random;
    std::vector<Daemon> m_daemons;
    std::size_t m_firstReported = 0;
};

} // namespace baobabtrail::test
