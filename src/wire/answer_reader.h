#pragma once

#include "core/messages/platform.h"

#include <boost/json/basic_parser.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_stack.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::wire {

/// \brief Reads the JSON text of an answer piece by piece.
///
/// The objects of its collections are read into StoredObjects at once. As a document they would
/// take several times their memory, while a daemon with little of it starts.
class AnswerReader
{
public:
    AnswerReader();
    ~AnswerReader();
    AnswerReader(const AnswerReader &) = delete;
    AnswerReader &operator=(const AnswerReader &) = delete;

    /// \throws boost::system::system_error if the text is not JSON, or lists other things than
    /// objects of the store.
    void write(std::string_view text);
    /// \brief Ends the text; to be called once.
    /// \return The document. In place of each list of objects it has the number of that list.
    [[nodiscard]] boost::json::value finish();
    /// \return The lists of objects.
    [[nodiscard]] std::vector<std::vector<StoredObject>> &lists() noexcept;

private:
    class Handler;
    using Parser = boost::json::basic_parser<Handler>;

    std::unique_ptr<Parser> m_parser;
};

} // namespace baobabtrail::wire
