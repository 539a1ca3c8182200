#include "daemon/settings/duration_text.h"

#include <boost/range/adaptor/reversed.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string>

namespace baobabtrail::daemon {

namespace {

struct Unit
{
    std::string_view name;
    Duration length;
};

// Largest unit first, so that toString() returns the shortest text.
constexpr std::array Units{Unit{"h", 1h}, Unit{"min", 1min}, Unit{"s", 1s}, Unit{"ms", 1ms},
                           Unit{"us", 1us}};

/// Larger exponents change nothing: the time is out of range or rounds to 0 anyway.
constexpr int MaxExponent = 40;
/// Longer numbers are no figures that somebody wrote.
constexpr std::size_t MaxDigits = 400;

[[nodiscard]] bool isDigit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

/// \brief Removes the digits at the front of \a text. \return The digits.
[[nodiscard]] std::string_view takeDigits(std::string_view &text) noexcept
{
    const auto end = std::find_if_not(text.begin(), text.end(), isDigit);
    const std::string_view digits{text.data(), static_cast<std::size_t>(end - text.begin())};
    text.remove_prefix(digits.size());
    return digits;
}

/// \brief A non-negative decimal number, by the digits before and after its point.
struct Decimal
{
    std::string whole;
    std::string fraction;

    void shiftPoint(int places)
    {
        for (; places > 0; --places) {
            whole.push_back(fraction.empty() ? '0' : fraction.front());
            fraction.erase(0, fraction.empty() ? 0 : 1);
        }
        for (; places < 0; ++places) {
            fraction.insert(fraction.begin(), whole.empty() ? '0' : whole.back());
            if (!whole.empty())
                whole.pop_back();
        }
    }
};

/// \brief Removes an exponent such as "e-3" from the front of \a text. \return The exponent; 0
/// where there is none.
[[nodiscard]] int takeExponent(std::string_view &text)
{
    if (text.empty() || (text.front() != 'e' && text.front() != 'E'))
        return 0;
    std::string_view rest = text.substr(1);
    const bool negative = rest.starts_with('-');
    if (negative || rest.starts_with('+'))
        rest.remove_prefix(1);
    const std::string_view digits = takeDigits(rest);
    if (digits.empty())
        return 0;
    int exponent = 0;
    const auto [end, status]
        = std::from_chars(digits.data(), digits.data() + digits.size(), exponent);
    text = rest;
    exponent = status == std::errc{} ? std::min(exponent, MaxExponent) : MaxExponent;
    return negative ? -exponent : exponent;
}

/// \brief Removes a number as JSON and TOML write it from the front of \a text.
[[nodiscard]] std::optional<Decimal> takeDecimal(std::string_view &text)
{
    Decimal out;
    out.whole = takeDigits(text);
    if (out.whole.empty())
        return std::nullopt;
    if (text.starts_with('.')) {
        text.remove_prefix(1);
        out.fraction = takeDigits(text);
        if (out.fraction.empty())
            return std::nullopt;
    }
    if (out.whole.size() + out.fraction.size() > MaxDigits)
        return std::nullopt;
    out.shiftPoint(takeExponent(text));
    return out;
}

/// \return The product, or the longest duration where it would be longer.
[[nodiscard]] Duration multiply(const Decimal &number, Duration unit, Rounding rounding)
{
    constexpr std::int64_t longest = std::numeric_limits<std::int64_t>::max();
    // In decimal: binary fractions would round "1.1s" up to 1,100,001 us.
    std::int64_t part = 0;
    bool exact = true;
    for (const char digit : boost::adaptors::reverse(number.fraction)) {
        const std::int64_t tenfold = (digit - '0') * unit.count() + part;
        exact = exact && tenfold % 10 == 0;
        part = tenfold / 10;
    }
    if (!exact && rounding == Rounding::Up)
        ++part;
    std::int64_t whole = 0;
    for (const char digit : number.whole) {
        if (whole > (longest - 9) / 10)
            return Duration::max();
        whole = whole * 10 + (digit - '0');
    }
    if (whole > (longest - part) / unit.count())
        return Duration::max();
    return whole * unit + Duration{part};
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text, Rounding rounding)
{
    const auto number = takeDecimal(text);
    if (!number)
        return std::nullopt;
    for (const Unit &unit : Units) {
        if (unit.name == text)
            return multiply(*number, unit.length, rounding);
    }
    return std::nullopt;
}

std::string toString(Duration duration)
{
    for (const Unit &unit : Units) {
        if (duration % unit.length == Duration::zero() && duration >= unit.length)
            return std::to_string(duration / unit.length) + std::string{unit.name};
    }
    return "0s";
}

} // namespace baobabtrail::daemon
