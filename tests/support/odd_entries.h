#pragma once

/// \file
/// \brief Contents that another writer may leave in an entry of the store.

#include "support/generate.h"

#include <array>
#include <string>

namespace baobabtrail::test {

/// \return Arrays in arrays, so many levels deep.
[[nodiscard]] inline std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// \brief Makes the text of a target's entry in which random fields are odd.
class OddEntries
{
public:
    explicit OddEntries(Random &random) noexcept
        : m_random(random)
    {
    }

    /// \return The text of an entry that names no target to use, or of a valid one, by chance.
    [[nodiscard]] std::string entry()
    {
        if (one(12))
            return value();
        std::string out = "{";
        field(out, "service", R"("x")");
        field(out, "address", one(4) ? address() : R"("10.128.0.9:8080")");
        field(out, "zone", R"("alx-raml")");
        field(out, "version", R"("v1")");
        field(out, "slots", "2");
        field(out, "state", R"("ready")");
        field(out, "warmup_left_ms", "0");
        field(out, "seq", "4");
        if (one(3))
            field(out, "born", "1780000000123");
        if (one(4))
            field(out, one(2) ? "more" : "service", value());
        return out + '}';
    }

    /// \return A JSON value that a parser may refuse; its brackets are balanced outside of strings.
    [[nodiscard]] std::string value()
    {
        // Beside each bound on the depth that a parser on the way has, or has had.
        static constexpr std::array depths{8, 31, 32, 33, 63, 64, 65, 511, 512, 513, 20000};
        static const std::array<std::string, 28> scalars{"null",
                                                         "true",
                                                         "0",
                                                         "-0",
                                                         "-1",
                                                         "1.5",
                                                         "1e3",
                                                         "1e400",
                                                         "-1e400",
                                                         "1e99999999999",
                                                         "1e-99999999999",
                                                         "4294967295",
                                                         "4294967296",
                                                         "9223372036854775807",
                                                         "9223372036854775808",
                                                         "-9223372036854775808",
                                                         "-9223372036854775809",
                                                         "18446744073709551615",
                                                         "18446744073709551616",
                                                         "80.5",
                                                         R"("\ud83d")",
                                                         R"("\ude00")",
                                                         R"("\ud83d\ud83d")",
                                                         R"("\ude00\ud83d")",
                                                         R"("\u0000")",
                                                         R"("]}\"{[")",
                                                         "\"\xff\xc0\"",
                                                         "\"\xed\xa0\xbd\""};
        switch (draw(m_random, 0, 9)) {
        case 0:
            return nested(static_cast<std::size_t>(
                depths.at(static_cast<std::size_t>(draw(m_random, 0, depths.size() - 1)))));
        case 1:
            return R"({"a":)" + value() + R"(,"a":)" + value() + '}';
        case 2:
            return '[' + value() + ',' + value() + ']';
        case 3:
            return '"' + std::string(static_cast<std::size_t>(draw(m_random, 0, 40000)), 'x') + '"';
        default:
            return scalars.at(static_cast<std::size_t>(draw(m_random, 0, scalars.size() - 1)));
        }
    }

private:
    [[nodiscard]] bool one(std::int64_t of) { return draw(m_random, 1, of) == 1; }

    [[nodiscard]] std::string address()
    {
        static const std::array<std::string, 10> ports{"65535", "65536", "0",  "-1", "80.5",
                                                       "1e3",   "",      " 1", "+1", "80x"};
        return R"("10.128.0.9:)"
               + ports.at(static_cast<std::size_t>(draw(m_random, 0, ports.size() - 1))) + '"';
    }

    void field(std::string &out, const std::string &name, const std::string &usual)
    {
        if (one(10))
            return;
        out += out.size() > 1 ? "," : "";
        out += '"' + name + "\":" + (one(8) ? value() : usual);
    }

    Random &m_random;
};

} // namespace baobabtrail::test
