#pragma once

#include "support/generate.h"

#include <string>

namespace baobabtrail::test {

/// \brief Changes, cuts, repeats or inserts a few random bytes, one to four times.
inline void mutate(std::string &bytes, Random &random)
{
    for (auto changes = draw(random, 1, 4); changes > 0 && !bytes.empty(); --changes) {
        const auto at = static_cast<std::size_t>(
            draw(random, 0, static_cast<std::int64_t>(bytes.size()) - 1));
        const auto length = static_cast<std::size_t>(draw(random, 1, 8));
        switch (draw(random, 0, 4)) {
        case 0:
            bytes[at] = static_cast<char>(random() & 0xff);
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << draw(random, 0, 7)));
            break;
        case 2:
            bytes.resize(at);
            break;
        case 3:
            bytes.insert(at, bytes.substr(at, length));
            break;
        default:
            bytes.insert(at, length, static_cast<char>(0xff));
            break;
        }
    }
}

} // namespace baobabtrail::test
