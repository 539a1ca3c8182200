#pragma once

#include <boost/random/mersenne_twister.hpp>

namespace baobabtrail {

/// \brief The seeded engine that is passed into every decision that draws a random number.
///
/// Use it with the distributions of Boost.Random: unlike the standard library's they give the same
/// numbers for the same seed everywhere, so a seed that shows a fault shows it on every machine.
using Random = boost::random::mt19937_64;

} // namespace baobabtrail
