/**
 * DOC: http_framing
 *
 * Validates message framing (Content-Length and Transfer-Encoding) and header text, against request
 * smuggling. libevent uses the first of two Content-Length headers and prefers Transfer-Encoding to
 * Content-Length; another parser may choose otherwise and see different message boundaries in the
 * same bytes. Messages with ambiguous framing are therefore rejected.
 */
#ifndef CONNECTION_HTTP_FRAMING_H
#define CONNECTION_HTTP_FRAMING_H

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  HTTP_FRAMING_NONE,    /* neither Content-Length nor Transfer-Encoding */
  HTTP_FRAMING_LENGTH,  /* exactly one valid Content-Length */
  HTTP_FRAMING_CHUNKED, /* Transfer-Encoding: chunked */
  HTTP_FRAMING_INVALID  /* duplicate, contradictory or unknown, or a header name is malformed */
} http_framing_t;

/** http_framing_detect() - determine how the headers delimit the body */
http_framing_t http_framing_detect (const struct evkeyvalq *headers);
/** http_framing_content_length() - the value of Content-Length, for headers of
 * %HTTP_FRAMING_LENGTH; 0 when there is none */
uint64_t http_framing_content_length (const struct evkeyvalq *headers);
/** http_framing_is_interim() - whether a response of this status is followed by another one to the
 * same request: 1xx but 101, which changes the protocol */
bool http_framing_is_interim (int status);
/** http_framing_is_valid_name() - whether @name is a valid header name (a token of RFC 9110) */
bool http_framing_is_valid_name (const char *name);
/** http_framing_is_valid_value() - whether @value has no control character but tab: a line break
 * would let it inject headers */
bool http_framing_is_valid_value (const char *value);
/** http_framing_is_valid_target() - whether @target starts with a slash and consists of visible
 * ASCII characters
 */
bool http_framing_is_valid_target (const char *target);

#endif
