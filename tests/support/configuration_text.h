#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cstdint>
#include <string>

namespace baobabtrail::test {

/// \return A configuration as an operator writes it, about 190 bytes per route. It starts with its
/// version, which is all that DirectCluster reads. A text with more routes starts with the routes
/// of one with fewer.
[[nodiscard]] inline std::string configurationText(std::uint64_t version, std::size_t routes)
{
    boost::random::mt19937 random{7};
    boost::random::uniform_int_distribution<int> byte{0, 255};
    boost::random::uniform_int_distribution<int> port{1024, 65535};
    std::string text = std::to_string(version) + " [";
    for (std::size_t index = 0; index < routes; ++index) {
        text += R"({"name":"route-)" + std::to_string(byte(random)) + std::to_string(index)
                + R"(","host":"198.18.)" + std::to_string(byte(random)) + '.'
                + std::to_string(byte(random)) + R"(","path_prefix":"/)"
                + std::to_string(port(random))
                + R"(/","service":"boarding","kind":"idempotent","timeout_ms":4000,)"
                  R"("target_latency_ms":500,"priority":1,"max_attempts":3},)";
    }
    return text + "]";
}

} // namespace baobabtrail::test
