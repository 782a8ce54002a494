#include "app/internal/Logging.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace lycheethread::app {

namespace logging = boost::log;

void startLogging(const std::string &Level) {
  logging::trivial::severity_level Lowest = logging::trivial::info;
  logging::trivial::from_string(Level.c_str(), Level.size(), Lowest);
  logging::add_common_attributes();
  logging::add_console_log(
      std::cerr,
      logging::keywords::format =
          logging::expressions::stream
          << logging::expressions::format_date_time<boost::posix_time::ptime>(
                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
          << " " << logging::trivial::severity << " "
          << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(logging::trivial::severity >= Lowest);
}

} // namespace lycheethread::app
