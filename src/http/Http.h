#ifndef LYCHEETHREAD_HTTP_HTTP_H
#define LYCHEETHREAD_HTTP_HTTP_H

/// Public header of the http library: HTTP/1.1 heads, body framing and the
/// order of pipelined answers without sockets, for both blocking and
/// event-driven code.

#include "http/types/AnswerOrder.h"
#include "http/types/BodyDecoder.h"
#include "http/types/Head.h"

#endif // LYCHEETHREAD_HTTP_HTTP_H
