/**
 * DOC: http_framing
 *
 * Checks of the headers that say where a message ends, and of header text. The library takes the
 * first of two Content-Length headers, and Transfer-Encoding before Content-Length; another reader
 * of the same bytes may choose otherwise and see another message. Such messages are refused.
 */
#ifndef CONNECTION_HTTP_FRAMING_H
#define CONNECTION_HTTP_FRAMING_H

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  FRM_NONE,    /* no length is declared */
  FRM_LENGTH,  /* by one sound Content-Length */
  FRM_CHUNKED, /* by Transfer-Encoding: chunked */
  FRM_BROKEN   /* doubled, contradictory, unknown, or not to be told for a malformed name */
} frm_t;

/** frm_of() - how the length of the message's body is declared */
frm_t frm_of (const struct evkeyvalq *headers);
/** frm_length() - the value of the one Content-Length; 0 when there is none */
uint64_t frm_length (const struct evkeyvalq *headers);
/** frm_name_ok() - whether @name is a token, as a header name must be */
bool frm_name_ok (const char *name);
/** frm_value_ok() - whether @value has no control character but tab, so that it ends no line */
bool frm_value_ok (const char *value);
/** frm_target_ok() - whether @target starts with a slash and has visible ASCII characters only */
bool frm_target_ok (const char *target);

#endif
