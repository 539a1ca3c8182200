#pragma once

/// \file
/// \brief Generates random values of any message type and compares them field by field.

#include "core/ids.h"
#include "core/messages/peer.h"
#include "core/messages/records.h"
#include "core/random.h"
#include "core/time.h"

#include <boost/pfr.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <array>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace baobabtrail::test {

template <typename T>
inline constexpr int LastOf = 0;
template <>
inline constexpr int LastOf<RefusalCause> = static_cast<int>(RefusalCause::TargetShed);
template <>
inline constexpr int LastOf<ResetCause> = static_cast<int>(ResetCause::WrongService);
template <>
inline constexpr int LastOf<UnknownCause> = static_cast<int>(UnknownCause::Expired);
template <>
inline constexpr int LastOf<RequestClass> = static_cast<int>(RequestClass::Bulk);
template <>
inline constexpr int LastOf<MemberState> = static_cast<int>(MemberState::Dead);

/// \return A random number from \a low to \a high, both inclusive.
[[nodiscard]] inline std::int64_t draw(Random &random, std::int64_t low, std::int64_t high)
{
    return boost::random::uniform_int_distribution<std::int64_t>{low, high}(random);
}

/// \brief Fills every field with a random value that is valid on the wire.
class Generator
{
public:
    explicit Generator(Random &random) noexcept
        : m_random(random)
    {
    }

    template <typename T>
    [[nodiscard]] T make()
    {
        T value{};
        fill(value);
        return value;
    }

    template <typename T>
    void fill(T &out)
    {
        if constexpr (std::is_same_v<T, bool>)
            out = draw(m_random, 0, 1) == 1;
        else if constexpr (std::is_enum_v<T>)
            out = static_cast<T>(draw(m_random, 0, LastOf<T>));
        else if constexpr (std::is_floating_point_v<T>)
            out = static_cast<T>(draw(m_random, 1, 1000)) / 16;
        else if constexpr (std::is_integral_v<T>)
            out = static_cast<T>(m_random());
        else
            boost::pfr::for_each_field(out, [this](auto &field) { fill(field); });
    }

    template <typename Tag, typename Value>
    void fill(StrongId<Tag, Value> &out)
    {
        out = StrongId<Tag, Value>{static_cast<Value>(m_random())};
    }
    void fill(std::byte &out) { out = static_cast<std::byte>(m_random() & 0xff); }
    void fill(Duration &out) { out = Duration{draw(m_random, 0, 1'000'000'000)}; }
    void fill(TimePoint &out) { out = TimePoint{make<Duration>()}; }
    void fill(std::string &out)
    {
        out.resize(static_cast<std::size_t>(draw(m_random, 1, 40)));
        for (char &c : out)
            c = static_cast<char>(draw(m_random, 'a', 'z'));
    }
    void fill(Answer &out)
    {
        fill(out.request);
        fill(out.payload);
        out.parts = static_cast<std::uint32_t>(draw(m_random, 1, 9));
        out.part = static_cast<std::uint32_t>(draw(m_random, 0, out.parts - 1));
    }
    template <typename T, std::size_t Size>
    void fill(std::array<T, Size> &out)
    {
        for (T &entry : out)
            fill(entry);
    }
    template <typename T>
    void fill(std::vector<T> &out)
    {
        out.resize(static_cast<std::size_t>(draw(m_random, 0, 4)));
        for (T &entry : out)
            fill(entry);
    }
    template <typename T>
    void fill(std::optional<T> &out)
    {
        if (draw(m_random, 0, 1) == 1)
            fill(out.emplace());
    }
    template <typename... Types>
    void fill(std::variant<Types...> &out)
    {
        const auto index = draw(m_random, 0, sizeof...(Types) - 1);
        std::int64_t at = 0;
        ((at++ == index ? fill(out.template emplace<Types>()) : void()), ...);
    }

private:
    Random &m_random;
};

template <typename... Types>
[[nodiscard]] bool same(const std::variant<Types...> &a, const std::variant<Types...> &b);
template <typename T>
[[nodiscard]] bool same(const std::vector<T> &a, const std::vector<T> &b);

/// \brief Compares two messages field by field.
template <typename T>
[[nodiscard]] bool same(const T &a, const T &b)
{
    if constexpr (requires { a == b; }) {
        return a == b;
    } else {
        bool equal = true;
        const auto left = boost::pfr::structure_tie(a);
        boost::pfr::for_each_field(b, [&](const auto &field, auto index) {
            equal = equal && same(std::get<index>(left), field);
        });
        return equal;
    }
}

template <typename... Types>
[[nodiscard]] bool same(const std::variant<Types...> &a, const std::variant<Types...> &b)
{
    if (a.index() != b.index())
        return false;
    return std::visit(
        [&b](const auto &value) { return same(value, std::get<std::decay_t<decltype(value)>>(b)); },
        a);
}

template <typename T>
[[nodiscard]] bool same(const std::vector<T> &a, const std::vector<T> &b)
{
    if (a.size() != b.size())
        return false;
    for (std::size_t i = 0; i < a.size(); ++i) {
        if (!same(a[i], b[i]))
            return false;
    }
    return true;
}

} // namespace baobabtrail::test
