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
  FRM_NONE,    /* neither Content-Length nor Transfer-Encoding */
  FRM_LENGTH,  /* exactly one valid Content-Length */
  FRM_CHUNKED, /* Transfer-Encoding: chunked */
  FRM_BROKEN   /* duplicate, contradictory or unknown, or a header name is malformed */
} frm_t;

/** frm_of() - determine how the headers delimit the body */
frm_t frm_of (const struct evkeyvalq *headers);
/** frm_length() - the value of Content-Length, for headers of %FRM_LENGTH; 0 when there is none */
uint64_t frm_length (const struct evkeyvalq *headers);
/** frm_name_ok() - whether @name is a valid header name (a token of RFC 9110) */
bool frm_name_ok (const char *name);
/** frm_value_ok() - whether @value has no control character but tab: a line break would let it
 * inject headers */
bool frm_value_ok (const char *value);
/** frm_target_ok() - whether @target starts with a slash and consists of visible ASCII characters
 */
bool frm_target_ok (const char *target);

#endif
