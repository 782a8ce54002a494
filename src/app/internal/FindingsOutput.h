#ifndef LYCHEETHREAD_APP_INTERNAL_FINDINGSOUTPUT_H
#define LYCHEETHREAD_APP_INTERNAL_FINDINGSOUTPUT_H

#include "model/Model.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <ostream>

namespace lycheethread::app {

/// Returns one object for each finding, with the keys file, line, key, problem
/// and allowed.
Poco::JSON::Array findingsJson(const Findings &Items);

/// Prints one line for each finding.
void printFindings(std::ostream &Out, const Findings &Items);

/// Prints the object followed by a newline.
void printJson(std::ostream &Out, const Poco::JSON::Object &Body);

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_FINDINGSOUTPUT_H
