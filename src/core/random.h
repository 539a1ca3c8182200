#pragma once

#include <boost/random/mersenne_twister.hpp>

namespace baobabtrail {

/// \brief The seeded random engine, passed to every function that makes a random decision.
///
/// Use it with the distributions of Boost.Random. Unlike those of the standard library, they give
/// the same numbers for a seed on every platform, so a failure can be reproduced from its seed.
using Random = boost::random::mt19937_64;

} // namespace baobabtrail
