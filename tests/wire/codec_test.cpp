#include "support/generate.h"
#include "support/mutate.h"
#include "wire/codec.h"

#include <functional>
#include <optional>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr int MessagesOfEachForm = 4000;

[[nodiscard]] const KeyRing &keys()
{
    static const KeyRing ring{std::vector<std::byte>(32, std::byte{7}), KeyEpoch{3}};
    return ring;
}

/// \brief One kind of frame, with its generator and decoder.
struct Form
{
    const char *name;
    bool sealed; ///< Whether a MAC covers the whole frame.
    std::function<std::string(Generator &)> random;
    /// Decodes and re-encodes the message; nothing if decoding fails.
    std::function<std::optional<std::string>(std::string_view)> decode;
};

template <typename Message, typename... Keys>
[[nodiscard]] std::optional<std::string> reencode(const wire::Decoded<Message> &decoded,
                                                  const Keys &...ring)
{
    const auto *message = std::get_if<Message>(&decoded);
    return message ? std::optional{wire::encode(*message, ring...)} : std::nullopt;
}

[[nodiscard]] std::optional<std::string> decodeLink(std::string_view bytes)
{
    std::vector<LinkMessage> messages;
    if (wire::LinkReader{}.feed(bytes, messages) || messages.empty())
        return std::nullopt;
    return wire::encodeLink(messages.front());
}

[[nodiscard]] std::optional<std::string> decodeProxied(std::string_view bytes)
{
    const auto datagram = wire::parseProxied(bytes);
    return datagram ? std::optional<std::string>{datagram->payload} : std::nullopt;
}

[[nodiscard]] std::vector<Form> forms()
{
    using View = std::string_view;
    return {
        {"caller", false, [](Generator &g) { return wire::encode(g.make<CallerMessage>()); },
         [](View b) { return reencode(wire::decodeCaller(b)); }},
        {"target", false, [](Generator &g) { return wire::encode(g.make<TargetDatagram>()); },
         [](View b) { return reencode(wire::decodeTarget(b)); }},
        {"peer", true, [](Generator &g) { return wire::encode(g.make<PeerDatagram>(), keys()); },
         [](View b) { return reencode(wire::decodePeer(b, keys()), keys()); }},
        {"records", true,
         [](Generator &g) { return wire::encode(g.make<RecordsMessage>(), keys()); },
         [](View b) { return reencode(wire::decodeRecords(b, keys()), keys()); }},
        {"link", false, [](Generator &g) { return wire::encodeLink(g.make<LinkMessage>()); },
         decodeLink},
        {"proxy", false,
         [](Generator &g) {
             return wire::proxyHeader(g.make<Endpoint>(), g.make<Endpoint>()) + "payload";
         },
         decodeProxied},
    };
}

/// \brief Encodes and decodes random messages and compares every field.
template <typename Message, typename Encode, typename Decode>
void roundTrip(Encode encode, Decode decode)
{
    Random random{2026};
    Generator generator{random};
    for (int i = 0; i < MessagesOfEachForm; ++i) {
        const auto message = generator.make<Message>();
        const auto decoded = decode(encode(message));
        cr_assert(std::holds_alternative<Message>(decoded));
        cr_assert(same(message, std::get<Message>(decoded)));
    }
}

[[nodiscard]] wire::DecodeError errorOf(std::string_view bytes)
{
    const auto decoded = wire::decodeCaller(bytes);
    cr_assert(std::holds_alternative<wire::DecodeError>(decoded));
    return std::get<wire::DecodeError>(decoded);
}

} // namespace

Test(codec, everyFieldRoundTrips)
{
    roundTrip<CallerMessage>([](const auto &m) { return wire::encode(m); }, wire::decodeCaller);
    roundTrip<TargetDatagram>([](const auto &m) { return wire::encode(m); }, wire::decodeTarget);
    roundTrip<PeerDatagram>([](const auto &m) { return wire::encode(m, keys()); },
                            [](const auto &b) { return wire::decodePeer(b, keys()); });
    roundTrip<RecordsMessage>([](const auto &m) { return wire::encode(m, keys()); },
                              [](const auto &b) { return wire::decodeRecords(b, keys()); });
}

Test(codec, linkMessagesSurviveAnySegmentation)
{
    Random random{11};
    Generator generator{random};
    std::vector<LinkMessage> sent;
    std::string stream;
    for (int i = 0; i < MessagesOfEachForm; ++i) {
        sent.push_back(generator.make<LinkMessage>());
        stream += wire::encodeLink(sent.back());
    }
    wire::LinkReader reader;
    std::vector<LinkMessage> received;
    for (std::string_view rest = stream; !rest.empty();) {
        const auto length = static_cast<std::size_t>(draw(random, 1, 200));
        cr_assert(!reader.feed(rest.substr(0, length), received));
        rest.remove_prefix(std::min(length, rest.size()));
    }
    cr_assert(same(sent, received));
}

// A malicious sender or a corrupting network can deliver arbitrary bytes. Randomly changed, cut,
// repeated and padded frames must decode to a message or an error without reading out of bounds;
// between daemons, the MAC must reject every changed byte.
Test(codec, mutatedBytesAreDecodedOrRefused)
{
    constexpr int Mutations = 120000;
    Random random{20261202};
    Generator generator{random};
    const auto all = forms();
    int decoded = 0;
    for (int i = 0; i < Mutations; ++i) {
        const Form &form = all[static_cast<std::size_t>(i) % all.size()];
        const std::string original = form.random(generator);
        std::string bytes = original;
        mutate(bytes, random);
        const auto message = form.decode(bytes);
        decoded += message.has_value();
        if (form.sealed && message)
            cr_assert(*message == original, "a changed %s passed its MAC", form.name);
    }
    cr_assert_gt(decoded, 0);
    cr_assert_lt(decoded, Mutations);
}

Test(codec, truncatedBytesAreDecodedOrRefused)
{
    Random random{5};
    Generator generator{random};
    for (const Form &form : forms()) {
        const std::string bytes = form.random(generator);
        cr_assert(form.decode(bytes).has_value(), "%s", form.name);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const bool passes = form.decode({bytes.data(), length}).has_value();
            cr_assert_not(form.sealed && passes, "%s cut to %zu bytes", form.name, length);
        }
    }
}

// Amplification attack: a sender forges the caller's address in a tiny OpenFlow or Reserve, and the
// daemon sends a larger reply to the victim. Requests below MinAskBytes must be refused, and every
// reply must fit into that size.
Test(codec, noReplyIsLargerThanItsAsk)
{
    Random random{9};
    Generator generator{random};
    for (int i = 0; i < 1000; ++i) {
        for (const CallerMessage &ask : {CallerMessage{FlowMessage{generator.make<OpenFlow>()}},
                                         CallerMessage{RequestMessage{generator.make<Reserve>()}}})
            cr_assert_geq(wire::encode(ask).size(), wire::MinAskBytes);
        for (const CallerMessage &reply :
             {CallerMessage{FlowMessage{generator.make<AcceptFlow>()}},
              CallerMessage{FlowMessage{generator.make<RefuseFlow>()}},
              CallerMessage{FlowMessage{generator.make<ResetFlow>()}},
              CallerMessage{RequestMessage{generator.make<Reserved>()}},
              CallerMessage{RequestMessage{generator.make<NotRun>()}}})
            cr_assert_leq(wire::encode(reply).size(), wire::MinAskBytes);
    }
    // An empty OpenFlow and an empty Reserve: field tag and length 0.
    cr_assert(errorOf(std::string_view{"\x0a\x00", 2}) == wire::DecodeError::TooSmall);
    cr_assert(errorOf(std::string_view{"\x4a\x00", 2}) == wire::DecodeError::TooSmall);
}

Test(codec, errorsNameTheirCause)
{
    cr_assert(errorOf(std::string(wire::MaxCallerBytes + 1, 'x')) == wire::DecodeError::TooLarge);
    cr_assert(errorOf("\xff\xff\xff") == wire::DecodeError::Malformed);
    cr_assert(errorOf("") == wire::DecodeError::UnknownKind);

    const std::string ping = wire::encode(PeerDatagram{DaemonId{1}, {}, Ping{}}, keys());
    const KeyRing later{std::vector<std::byte>(32, std::byte{7}), KeyEpoch{9}};
    const KeyRing other{std::vector<std::byte>(32, std::byte{8}), KeyEpoch{3}};
    cr_assert(std::get<wire::DecodeError>(wire::decodePeer(ping, later))
              == wire::DecodeError::UnknownEpoch);
    cr_assert(std::get<wire::DecodeError>(wire::decodePeer(ping, other))
              == wire::DecodeError::BadMac);
    cr_assert(std::get<wire::DecodeError>(wire::decodeRecords(ping, keys()))
              == wire::DecodeError::UnknownKind);

    std::vector<LinkMessage> messages;
    cr_assert(wire::LinkReader{}.feed("\x7f\xff\xff\xff", messages) == wire::DecodeError::TooLarge);
}
