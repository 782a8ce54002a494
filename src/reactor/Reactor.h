#ifndef LYCHEETHREAD_REACTOR_REACTOR_H
#define LYCHEETHREAD_REACTOR_REACTOR_H

/// Public header of the reactor library: a single-threaded event loop for
/// sockets and timers. Nothing in it is thread-safe.

#include "reactor/types/EventLoop.h"
#include "reactor/types/TcpListener.h"
#include "reactor/types/TcpStream.h"
#include "reactor/types/UdpSocket.h"

#endif // LYCHEETHREAD_REACTOR_REACTOR_H
