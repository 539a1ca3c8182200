#include "core/directory/peer_feed.h"

#include "core/directory/value_patch.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Sources that other daemons have named are kept up to this many; the oldest goes first.
constexpr std::size_t MostSources = 12;

/// Longest path of a source. Three roots with eight followers each reach 630 daemons over four; the
/// rest is for uneven trees, whose hops cost milliseconds each.
constexpr std::size_t MostHops = 12;
/// Origins whose pulses are kept apart.
constexpr std::size_t MostOrigins = 64;
/// Wait of a question that is asked when the copy is about to be stale.
constexpr Duration ShortestWait = 10ms;

} // namespace

PeerFeed::PeerFeed(std::string prefix, PeerSettings settings, PeerIdentity identity,
                   PeerPorts ports, CollectionCopy &copy, Changed changed, Contact contact,
                   Confirmed confirmed)
    : m_prefix(std::move(prefix))
    , m_settings(settings)
    , m_identity(std::move(identity))
    , m_ports(std::move(ports))
    , m_copy(copy)
    , m_changed(std::move(changed))
    , m_contact(std::move(contact))
    , m_confirmed(std::move(confirmed))
{
}

void PeerFeed::start(const std::vector<Endpoint> &sources)
{
    ++*m_run;
    m_startedAt = m_ports.now();
    m_staleSince.reset();
    m_sources.clear();
    for (const Endpoint &source : sources) {
        if (source == m_identity.address)
            continue;
        m_sources.emplace_back();
        m_sources.back().address = source;
    }
    // Each begins at another one: else the first would send nearly all of them on to its followers.
    if (!m_sources.empty()) {
        const std::size_t first = hash_value(m_identity.address) % m_sources.size();
        std::rotate(m_sources.begin(), m_sources.begin() + static_cast<std::ptrdiff_t>(first),
                    m_sources.end());
    }
    if (m_sources.empty()) {
        setState(PeerState::Lost);
        return;
    }
    // The store is asked beside the sources where callers wait: whoever answers first ends that.
    if (!m_copy.complete() && m_settings.patience == Duration{0})
        setState(PeerState::Lost);
    ask();
}

void PeerFeed::setStoreAway(bool away)
{
    const bool lost = away && !m_storeAway;
    m_storeAway = away;
    if (!lost || m_copy.complete() || !m_pausing)
        return;
    ++*m_run; // The pause was for the store.
    ask();
}

void PeerFeed::later(Duration wait)
{
    m_pausing = true;
    m_ports.after(wait, [this, run = std::weak_ptr{m_run}, mine = *m_run] {
        const auto current = run.lock();
        if (current && *current == mine)
            ask();
    });
}

PeerFeed::Source *PeerFeed::find(const Endpoint &address)
{
    const auto found = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source &source) {
        return source.address == address;
    });
    return found == m_sources.end() ? nullptr : &*found;
}

PeerFeed::Source *PeerFeed::choose()
{
    // The one that answered last goes on, unless a nearer one has not been tried yet.
    const auto rank = [this](const Source &source) {
        const bool near = source.domain == m_identity.domain;
        const bool last = source.address == m_source;
        if (!source.domain)
            return 2;
        if (near)
            return last ? 0 : 1;
        return last ? 3 : 4;
    };
    Source *best = nullptr;
    for (Source &source : m_sources) {
        if (source.failedAt && m_ports.now() - *source.failedAt < m_settings.forget)
            continue;
        // Of equals the one that was named last: it is further down, where seats are free.
        if (!best || rank(source) <= rank(*best))
            best = &source;
    }
    return best;
}

void PeerFeed::judge()
{
    if (m_ports.now() - m_startedAt < m_settings.patience)
        return;
    if (!std::all_of(m_sources.begin(), m_sources.end(),
                     [](const Source &source) { return source.failedAt.has_value(); }))
        return;
    setState(m_staleSince ? PeerState::Stale : PeerState::Lost);
}

// Not longer than until the copy is stale: the answer then shows whether the source knows better.
Duration PeerFeed::longestWait() const
{
    const auto confirmed = m_copy.confirmedAt();
    if (!confirmed || m_staleSince)
        return m_settings.wait;
    const Duration left = *confirmed + m_settings.staleAfter - m_ports.now();
    return std::clamp(left + ShortestWait, ShortestWait, m_settings.wait);
}

void PeerFeed::ask()
{
    const Source *source = choose();
    if (source) {
        askAt(*source, m_copy.complete() ? Question::Usual : Question::FirstLook);
        return;
    }
    judge();
    for (Source &failed : m_sources) {
        if (!m_copy.complete())
            failed.failedAt.reset(); // Nothing to lose: all are tried again at once.
    }
    later(pause());
}

Duration PeerFeed::pause() const
{
    const bool patient = m_ports.now() - m_startedAt < m_settings.patience;
    const bool storeComes = !m_copy.complete() && !m_storeAway && !patient;
    return storeComes ? m_settings.firstRetry : m_settings.retry;
}

void PeerFeed::looked(const Source &source, const PeerAnswer &answer)
{
    const bool patient = m_ports.now() - m_startedAt < m_settings.patience;
    if (m_storeAway || patient || answer.objects <= m_settings.smallCopy)
        askAt(source, Question::WholeCopy);
    else
        later(pause());
}

AskLimits PeerFeed::limitsOf(Question kind, Duration wait) const
{
    switch (kind) {
    case Question::FirstLook:
        return {m_settings.firstTimeout, m_settings.firstTimeout};
    case Question::WholeCopy:
        return {m_settings.copyTimeout, m_settings.copyTimeout};
    default:
        return {wait + m_settings.timeout, wait + m_settings.longestAnswer};
    }
}

void PeerFeed::askAt(const Source &source, Question kind)
{
    m_pausing = false;
    PeerQuestion question;
    question.look = kind == Question::FirstLook || kind == Question::Look;
    question.prefix = m_prefix;
    question.after = m_copy.version();
    question.patches = m_takesPatches;
    question.asker = m_identity.address;
    question.domain = m_identity.domain;
    question.origin = m_lineage.origin;
    question.pulse = m_lineage.pulse;
    if (const auto confirmed = m_copy.confirmedAt())
        question.age = m_ports.now() - *confirmed;
    // A source that is not known to answer is not waited for.
    if (kind == Question::Usual && source.address == m_source)
        question.wait = longestWait();
    const QuestionEnd end{source.address, question.after, question.wait};
    m_ports.ask(source.address, question, limitsOf(kind, question.wait),
                [this, end, asked = m_ports.now(), kind, run = std::weak_ptr{m_run},
                 mine = *m_run](PeerResult result) {
                    const auto current = run.lock();
                    if (!current || *current != mine)
                        return;
                    QuestionEnd ended = end;
                    ended.took = m_ports.now() - asked;
                    ended.bytes = result.bytes;
                    onResult(std::move(ended), kind, std::move(result));
                });
}

void PeerFeed::tellSource()
{
    ++*m_run; // The question that waits is given up.
    ask();
}

void PeerFeed::suggest(const Endpoint &fresher)
{
    if (m_state == PeerState::Fresh || fresher == m_identity.address || fresher.isNull())
        return;
    add(fresher);
    const Source *source = find(fresher);
    ++*m_run;
    askAt(*source);
}

bool PeerFeed::isLinked() const
{
    return m_heardAt && m_ports.now() - *m_heardAt <= m_settings.unlinkedAfter;
}

void PeerFeed::hear(const Lineage &lineage)
{
    m_lineage = lineage;
    if (lineage.origin.isNull())
        return;
    // The highest of each origin: in a ring, the pulses of two origins could go round for ever.
    std::uint64_t &highest = m_pulses[lineage.origin];
    if (lineage.pulse <= highest)
        return;
    highest = lineage.pulse;
    m_heardAt = m_ports.now();
    if (m_pulses.size() > MostOrigins)
        m_pulses = {{lineage.origin, lineage.pulse}};
}

void PeerFeed::tell(QuestionEnd end, QuestionOutcome outcome) const
{
    if (!m_ports.ended)
        return;
    end.outcome = outcome;
    m_ports.ended(end);
}

void PeerFeed::onResult(QuestionEnd end, Question kind, PeerResult result)
{
    const Endpoint address = end.source;
    Source *source = find(address);
    PeerReply &reply = result.reply;
    if (!source || !reply) {
        end.why = std::move(result.why);
        tell(std::move(end), QuestionOutcome::Unanswered);
        failed(address);
        return;
    }
    source->domain = reply->domain;
    if (!reply->redirect.empty()) {
        tell(std::move(end), QuestionOutcome::Redirected);
        redirect(*source, reply->redirect);
        ask();
        return;
    }
    const std::vector<Endpoint> &path = reply->lineage.path;
    const bool fromHere = std::find(path.begin(), path.end(), m_identity.address) != path.end();
    if (fromHere || path.size() > MostHops) {
        end.why = fromHere ? "its copy comes from here" : "its copy comes over too many daemons";
        tell(std::move(end), QuestionOutcome::Refused);
        m_staleSince = m_staleSince.value_or(m_ports.now()); // It answers, and knows no more.
        failed(address);
        return;
    }
    hear(reply->lineage);
    if (kind == Question::FirstLook) {
        tell(std::move(end), QuestionOutcome::Looked);
        // The answer names a version and brings nothing. Where the store was faster meanwhile, to
        // take it would put the copy at a version whose changes it lacks: a drained target would go
        // on.
        if (m_copy.complete())
            ask();
        else
            looked(*source, *reply);
        return;
    }
    if (!unpack(*reply)) {
        end.why = "a patch does not fit the copy; the whole value is asked for";
        tell(std::move(end), QuestionOutcome::Misfit);
        m_takesPatches = false;
        askAt(*source, kind);
        return;
    }
    m_takesPatches = true;
    const bool fresh = take(*reply);
    tell(std::move(end), fresh ? QuestionOutcome::Taken : QuestionOutcome::Stale);
    if (!fresh) {
        stale(address, reply->seated);
        return;
    }
    source->failedAt.reset();
    source->staleAt.reset();
    m_source = address;
    m_staleSince.reset();
    setState(PeerState::Fresh);
    ask();
}

bool PeerFeed::unpack(PeerAnswer &answer) const
{
    for (const ValuePatch &patch : answer.patches) {
        const StoredObject *base = m_copy.find(patch.key);
        if (base && base->version >= patch.version) {
            // Known already, by the store. It is part of the answer all the same: a complete one
            // takes away what it does not name, and this daemon would have no routes to give.
            answer.delta.change.written.push_back(*base);
            continue;
        }
        if (!base || base->version != patch.base)
            return false;
        auto value = applyPatch(base->value, patch.bytes);
        if (!value)
            return false;
        answer.delta.change.written.push_back({patch.key, std::move(*value), patch.version});
    }
    return true;
}

bool PeerFeed::take(PeerAnswer &answer)
{
    // A peer that is behind, since this daemon had to ask the store itself, catches up soon. To go
    // on with the store would keep this daemon ahead of its peers, and at the store, for ever.
    if (answer.delta.change.version < m_copy.version()) {
        const auto confirmed = m_copy.confirmedAt();
        const bool ownIsFresh = confirmed && m_ports.now() - *confirmed <= m_settings.staleAfter;
        return ownIsFresh && answer.age <= m_settings.staleAfter;
    }
    const CollectionChange &news = answer.delta.change;
    const auto change = answer.delta.complete
                            ? m_copy.takeAll(news.written, news.version, news.afterOutage)
                            : m_copy.takeChanges(news);
    if (change)
        m_changed(*change);
    m_copy.confirm(m_ports.now() - answer.age);
    m_confirmed();
    return answer.age <= m_settings.staleAfter;
}

void PeerFeed::redirect(Source &from, const std::vector<Endpoint> &to)
{
    from.failedAt = m_ports.now();
    for (const Endpoint &address : to) {
        if (address != m_identity.address && !address.isNull())
            add(address);
    }
}

// One that is known keeps what is known of it: two daemons that send this one on to each other
// would else have it ask as fast as the network goes.
void PeerFeed::add(const Endpoint &address)
{
    if (find(address))
        return;
    const auto named = std::find_if(m_sources.begin(), m_sources.end(),
                                    [](const Source &source) { return !source.root; });
    if (m_sources.size() >= MostSources && named != m_sources.end())
        m_sources.erase(named);
    Source source;
    source.address = address;
    source.root = false;
    m_sources.push_back(std::move(source));
}

// While the source is linked, it hears of the store's return as soon as anybody; to leave it would
// bring every daemon to the roots. One that is linked to nobody knows no more than those that have
// their copies from there; only a root may.
void PeerFeed::stale(const Endpoint &address, bool seated)
{
    m_staleSince = m_staleSince.value_or(m_ports.now());
    Source &source = *find(address);
    if (source.root) {
        staleRoot(source, seated);
        return;
    }
    if (isLinked()) {
        m_source = address;
        setState(PeerState::Waiting);
        m_confirmed();
        askAt(source);
        return;
    }
    std::erase_if(m_sources, [](const Source &each) { return !each.root; });
    m_source = Endpoint{};
    judge();
    ask();
}

void PeerFeed::staleRoot(Source &root, bool seated)
{
    const TimePoint now = m_ports.now();
    const Endpoint address = root.address;
    root.staleAt = now;
    root.failedAt.reset();
    std::erase_if(m_sources, [](const Source &each) { return !each.root; });
    const auto untried = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source &each) {
        const bool failed = each.failedAt && now - *each.failedAt < m_settings.forget;
        const bool seen = each.staleAt && now - *each.staleAt < m_settings.staleRetry;
        return !failed && !seen;
    });
    if (untried != m_sources.end()) {
        askAt(*untried, Question::Look);
        return;
    }
    m_source = address;
    setState(seated ? PeerState::Stale : PeerState::Waiting);
    m_confirmed();
    askAt(*find(address));
}

void PeerFeed::failed(const Endpoint &address)
{
    if (Source *source = find(address)) {
        source->failedAt = m_ports.now();
    }
    if (m_source == address)
        m_source = Endpoint{};
    if (!m_copy.complete() && m_ports.now() - m_startedAt >= m_settings.patience)
        setState(PeerState::Lost);
    judge();
    ask();
}

void PeerFeed::setState(PeerState state)
{
    if (state == m_state)
        return;
    m_state = state;
    m_contact(state);
}

} // namespace baobabtrail
