#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_RECORDENCODING_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_RECORDENCODING_H

#include "model/Model.h"

#include <functional>
#include <string>

namespace lycheethread::moveowner {

/// The encoder of control records.
std::function<std::string(const Record &)> recordEncoder();

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_RECORDENCODING_H
