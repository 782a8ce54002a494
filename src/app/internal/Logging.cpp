#include "app/internal/Logging.h"
#include "app/internal/NonBlockingOutput.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <iostream>

namespace lycheethread::app {

namespace logging = boost::log;

namespace {

logging::formatter lineFormat() {
  return logging::expressions::stream
         << logging::expressions::format_date_time<boost::posix_time::ptime>(
                "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
         << " " << logging::trivial::severity << " "
         << logging::expressions::smessage;
}

void setLevel(const std::string &Level) {
  logging::trivial::severity_level MinLevel = logging::trivial::info;
  logging::trivial::from_string(Level.c_str(), Level.size(), MinLevel);
  logging::add_common_attributes();
  logging::core::get()->set_filter(logging::trivial::severity >= MinLevel);
}

} // namespace

void startLogging(const std::string &Level) {
  setLevel(Level);
  logging::add_console_log(std::cerr, logging::keywords::format = lineFormat(),
                           logging::keywords::auto_flush = true);
}

void startStandardOutputLogging(const std::string &Level) {
  setLevel(Level);
  using Sink = logging::sinks::unlocked_sink<NonBlockingOutput>;
  const auto LogSink = boost::make_shared<Sink>();
  LogSink->set_formatter(lineFormat());
  logging::core::get()->add_sink(LogSink);
}

} // namespace lycheethread::app
