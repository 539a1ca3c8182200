#include "wire/token_text.h"

#include "wire/impl/fields.h"

namespace baobabtrail::wire {

namespace {

template <typename Message, typename Token>
[[nodiscard]] std::string encodeAs(const Token &token)
{
    Message message;
    impl::write(token, message);
    return message.SerializeAsString();
}

template <typename Token, typename Message>
[[nodiscard]] std::optional<Token> decodeAs(std::string_view bytes)
{
    Message message;
    if (bytes.empty() || !impl::parse(bytes, message))
        return std::nullopt;
    return impl::read(message);
}

} // namespace

std::string encodeToken(const FlowToken &token)
{
    return encodeAs<pb::FlowToken>(token);
}

std::string encodeToken(const ReservationToken &token)
{
    return encodeAs<pb::ReservationToken>(token);
}

std::optional<FlowToken> decodeFlowToken(std::string_view bytes)
{
    return decodeAs<FlowToken, pb::FlowToken>(bytes);
}

std::optional<ReservationToken> decodeReservation(std::string_view bytes)
{
    return decodeAs<ReservationToken, pb::ReservationToken>(bytes);
}

} // namespace baobabtrail::wire
