#include "core/directory/view_relay.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint NearRoot{0x0A010001, 9000}; ///< Of the failure domain d1.
constexpr Endpoint Asker{0x0A010007, 9000};    ///< In d1 too.

/// \brief A root of the domain d0 with a complete copy.
struct RootOfD0
{
    TimePoint now{1h};
    CollectionCopy copy;
    ViewRelay relay{"d0",
                    {},
                    {[this] { return now; }, [](Duration, std::function<void()>) {},
                     [](const std::string &) { return Lineage{}; },
                     [](const Endpoint &daemon) { return daemon == NearRoot; },
                     [](const std::string &, const Endpoint &) {}}};

    RootOfD0()
    {
        (void)copy.takeAll({{"targets/1", "ready", ObjectVersion{3}}}, ObjectVersion{3}, false);
        copy.confirm(now);
        relay.add("targets/", copy);
    }

    /// \return What a daemon of d1 that has the copy is answered.
    PeerAnswer ask(const Endpoint &asker)
    {
        PeerQuestion question;
        question.prefix = "targets/";
        question.after = ObjectVersion{3};
        question.asker = asker;
        question.domain = "d1";
        PeerReply reply;
        relay.ask(question, [&reply](const PeerReply &answer) { reply = answer; });
        cr_assert(reply.has_value());
        return *reply;
    }
};

} // namespace

// A daemon of d1 asks the root of d0, which knows the root of d1 and sends it there. The way to
// that one is cut: the daemon comes back and has to be taken, or it would have nobody but the
// store.
Test(viewRelay, takesOneThatCannotReachTheRootOfItsDomain)
{
    RootOfD0 root;
    cr_assert(root.ask(NearRoot).redirect.empty());
    cr_assert(root.ask(Asker).redirect == std::vector<Endpoint>{NearRoot});
    root.now += 400ms;
    cr_assert(root.ask(Asker).redirect.empty());
    cr_assert(root.ask(Asker).seated);
}

// The root of d1 has not been heard of for a while: it may be gone, and nobody is sent there.
Test(viewRelay, sendsNobodyToARootThatIsSilent)
{
    RootOfD0 root;
    cr_assert(root.ask(NearRoot).redirect.empty());
    root.now += 4s;
    root.copy.confirm(root.now);
    cr_assert(root.ask(Asker).redirect.empty());
}
