#ifndef LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H
#define LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

#include <cstddef>
#include <string>

namespace lycheethread::app {

/// Boost.Log sink that writes to standard output without ever blocking.
class NonBlockingOutput
    : public boost::log::sinks::basic_formatted_sink_backend<
          char, boost::log::sinks::concurrent_feeding> {
public:
  NonBlockingOutput();

  void consume(const boost::log::record_view &Record, const std::string &Line);

private:
  void flush();

  /// Lines that have not been written yet, at most MaxPendingBytes.
  std::string Pending_;
  /// Lines dropped since the last report of dropped lines.
  std::size_t Dropped_ = 0;
};

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H
