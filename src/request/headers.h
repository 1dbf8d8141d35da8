/**
 * DOC: header_filter
 *
 * Decides which HTTP headers are forwarded from one connection to the next. Hop-by-hop headers are
 * not, and neither are those with which the daemons of a fleet talk to each other: they are never
 * accepted from a client or an engine.
 */
#ifndef REQUEST_HEADERS_H
#define REQUEST_HEADERS_H

#include "connection/http_client.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define HDR_FLEET_PREFIX "X-Medlarplank-" /* of the headers between daemons */

/** hdr_is_of_connection() - whether a header applies to its connection alone (hop-by-hop), and is
 * written anew on the next one */
bool hdr_is_of_connection (const char *name);
/** hdr_passes_on() - whether a request header is forwarded to the engine */
bool hdr_passes_on (const char *name);
/** hdr_passes_back() - whether a response header is forwarded to the client */
bool hdr_passes_back (const char *name);
/** hdr_collect() - puts those of the request's headers that are forwarded into @out, which borrows
 * their text; at most @limit. Return: the number of headers in @out */
uint32_t hdr_collect (struct evkeyvalq *headers, hcl_header_t *out, uint32_t limit);

#endif
