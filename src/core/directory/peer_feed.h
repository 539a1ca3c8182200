#pragma once

#include "core/directory/peer_view.h"
#include "core/directory/store_feed.h"
#include "core/random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Times of a PeerFeed.
struct PeerSettings
{
    /// One question: just longer than a root's watch, with whose end the answer comes by itself. A
    /// peer that died silently costs this and the timeout, and another one has to be asked within
    /// the three seconds after which a change is in force.
    Duration wait = 1600ms;
    /// Until an answer begins, on top of the wait; peers answer within milliseconds.
    Duration timeout = 400ms;
    /// Until its end, on top of the wait: a megabyte over 2 Mbit/s takes 4 s, and the half of that
    /// again goes to others on the same link. With 400 ms for all of it, a change of 1,400 routes
    /// (590 KB then) came through to 34 of 60 daemons with 10 Mbit/s within 5 s.
    Duration longestAnswer = 6s;
    /// The same for a look, while this daemon has no copy at all: the machine that is asked may be
    /// dark after the fault that ended this daemon too, and callers wait.
    Duration firstTimeout = 100ms;
    /// For a whole copy to begin, from a peer that has just answered a look; it is made first.
    Duration copyTimeout = 6s;
    Duration retry = 100ms; ///< Between sources that don't answer.
    /// The same while this daemon has no copy and the store has not failed: hundreds may have
    /// started at once, none has a copy, and the store is about to give it.
    Duration firstRetry = 1s;
    /// Most objects that are taken from a peer while the store has not failed: as many as the store
    /// gives in one page. More would pass a thin link beside the store's own list, and both be
    /// late.
    std::size_t smallCopy = 500;
    Duration forget = 1s; ///< Until a source that failed is tried again.
    /// Between two looks at a root whose copy was out of date, by those who wait at another one.
    Duration staleRetry = 2s;
    /// A source whose origin's pulse has stood for so long is linked to nobody. The pulse comes
    /// with each question (the wait), and has to stand for less than what makes a copy stale: in a
    /// ring of daemons both stop at once.
    Duration unlinkedAfter = 2100ms;
    /// Age at which a peer's copy is no better than none: a watch of a root at the store takes 1.5
    /// s, its followers hear of its end at once, and 0.7 s are for slow answers. Half a second
    /// later a daemon has to have asked the store itself, to know of a change within three seconds.
    Duration staleAfter = 2200ms;
    /// A process that starts waits this long for a peer before it asks the store itself. Worth it
    /// only where the whole system starts and no caller waits.
    Duration patience{0};
};

/// \brief What a PeerFeed needs of its surroundings.
struct PeerPorts
{
    std::function<TimePoint()> now;
    std::function<void(Duration, std::function<void()>)> after;
    /// Asks a peer; the handler is called once, later, within \a limits.
    std::function<void(const Endpoint &peer, const PeerQuestion &question, const AskLimits &limits,
                       std::function<void(PeerResult)>)>
        ask;
    std::function<void(const QuestionEnd &)> ended{}; ///< Told of each question; may be empty.
};

/// \brief Who asks.
struct PeerIdentity
{
    Endpoint address; ///< Where this daemon answers questions itself; null for nowhere.
    std::string domain;
};

/// \brief What the other daemons are good for.
enum class PeerState {
    Fresh,   ///< One of them has a copy that the store confirmed lately.
    Waiting, ///< The source's copy is old; one that is nearer to the store looks after that.
    Stale,   ///< They answer, but the store is away from all of them; nobody is nearer to it.
    Lost,    ///< None answers with a copy.
};

/// \brief Keeps a copy of a collection up to date from other daemons.
///
/// Asks one source at a time, of the own failure domain where one answers, and goes on to the next
/// where it fails or vouches for nothing. Where the source's copy is out of date but somebody on
/// the way up answers, this daemon stays and waits: in an outage hundreds would else ask the roots.
class PeerFeed
{
public:
    using Changed = std::function<void(const CollectionChange &)>;
    /// Told of each change of the state.
    using Contact = std::function<void(PeerState)>;
    /// Told whenever a source has vouched for the copy anew, or has shown that it is linked.
    using Confirmed = std::function<void()>;

    PeerFeed(std::string prefix, PeerSettings settings, PeerIdentity identity, PeerPorts ports,
             CollectionCopy &copy, Changed changed, Contact contact, Confirmed confirmed);
    PeerFeed(const PeerFeed &) = delete;
    PeerFeed &operator=(const PeerFeed &) = delete;

    /// \brief Starts, or asks anew. \param sources Daemons that watch the store; not this one.
    void start(const std::vector<Endpoint> &sources);
    /// \brief The store gives no copy, or does again: who has none takes even a large one from a
    /// peer.
    void setStoreAway(bool away);
    /// \brief Tells the source at once how young this daemon's own copy has become.
    void tellSource();
    /// \brief Takes a daemon for a source whose copy is younger, and asks it at once.
    void suggest(const Endpoint &fresher);

    [[nodiscard]] PeerState state() const noexcept { return m_state; }
    [[nodiscard]] const Endpoint &source() const noexcept { return m_source; }
    /// \return Of the source.
    [[nodiscard]] const Lineage &lineage() const noexcept { return m_lineage; }
    /// \return When the origin's pulse grew last.
    [[nodiscard]] std::optional<TimePoint> heardAt() const noexcept { return m_heardAt; }

private:
    struct Source
    {
        Endpoint address;
        std::optional<std::string> domain; ///< Unknown until it has answered once.
        std::optional<TimePoint> failedAt;
        std::optional<TimePoint> staleAt; ///< Its copy was out of date.
        bool root = true;                 ///< Named by the settings, not by another daemon.
    };

    [[nodiscard]] Source *choose();
    /// \brief Takes it for lost, or stale, once every source has failed since it was fresh.
    void judge();
    [[nodiscard]] Duration longestWait() const;
    [[nodiscard]] Source *find(const Endpoint &address);
    void ask();
    enum class Question {
        Usual,
        Look,      ///< Is the copy there out of date too?
        FirstLook, ///< This daemon has no copy: does anybody answer, and how large is it?
        WholeCopy,
    };
    [[nodiscard]] AskLimits limitsOf(Question kind, Duration wait) const;
    void askAt(const Source &source, Question kind = Question::Usual);
    void onResult(QuestionEnd end, Question kind, PeerResult result);
    void tell(QuestionEnd end, QuestionOutcome outcome) const;
    /// \brief Makes whole objects of the patches of an answer. \return False where one does not
    /// fit the copy.
    [[nodiscard]] bool unpack(PeerAnswer &answer) const;
    /// \return Whether the answer is fresh; one that is stale is taken too, where it is newer.
    [[nodiscard]] bool take(PeerAnswer &answer);
    void redirect(Source &from, const std::vector<Endpoint> &to);
    void add(const Endpoint &address);
    void failed(const Endpoint &source);
    void stale(const Endpoint &source, bool seated);
    /// \brief Goes on to another root, or waits at this one where all are out of date.
    void staleRoot(Source &root, bool seated);
    [[nodiscard]] bool isLinked() const;
    void hear(const Lineage &lineage);
    /// \brief Takes the whole copy of a source that has answered a look, or leaves that to the
    /// store.
    void looked(const Source &source, const PeerAnswer &answer);
    [[nodiscard]] Duration pause() const;
    void setState(PeerState state);
    void later(Duration wait);

    std::string m_prefix;
    PeerSettings m_settings;
    PeerIdentity m_identity;
    PeerPorts m_ports;
    CollectionCopy &m_copy;
    Changed m_changed;
    Contact m_contact;
    Confirmed m_confirmed;
    std::vector<Source> m_sources;
    Endpoint m_source;                          ///< The one that answered last.
    Lineage m_lineage;                          ///< Of that one.
    std::map<Endpoint, std::uint64_t> m_pulses; ///< The highest of each origin.
    std::optional<TimePoint> m_heardAt;         ///< When one of them grew last.
    TimePoint m_startedAt{};
    PeerState m_state = PeerState::Fresh;
    bool m_takesPatches = true; ///< False after one that did not fit, until an answer is taken.
    bool m_storeAway = false;
    bool m_pausing = false; ///< No question is under way.
    std::optional<TimePoint>
        m_staleSince; ///< First answer with an old copy since the last fresh one.
    std::shared_ptr<std::uint64_t> m_run = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
