#ifndef LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H
#define LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

#include <cstddef>
#include <string>

namespace lycheethread::app {

/// Sink of Boost.Log that writes to standard output and waits for nobody.
class NonBlockingOutput
    : public boost::log::sinks::basic_formatted_sink_backend<
          char, boost::log::sinks::concurrent_feeding> {
public:
  NonBlockingOutput();

  void consume(const boost::log::record_view &Record, const std::string &Line);

private:
  void flush();

  /// Lines that the reader has not taken yet, at most MaxPendingBytes.
  std::string Pending_;
  std::size_t Dropped_ = 0;
};

} // namespace lycheethread::app

#endif // LYCHEETHREAD_APP_INTERNAL_NONBLOCKINGOUTPUT_H
