/**
 * DOC: header_filter
 *
 * Decides which HTTP headers are forwarded from one connection to the next. Hop-by-hop headers are
 * not, and neither are those with which the daemons of a fleet talk to each other: they are never
 * accepted from a client or an engine.
 */
#ifndef REQUEST_HEADER_FILTER_H
#define REQUEST_HEADER_FILTER_H

#include "connection/http_client.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define HEADER_FLEET_PREFIX "X-Medlarplank-" /* of the headers between daemons */

/** header_is_hop_by_hop() - whether a header applies to its connection alone (hop-by-hop), and is
 * written anew on the next one */
bool header_is_hop_by_hop (const char *name);
/** header_is_forwarded() - whether a request header is forwarded to the engine */
bool header_is_forwarded (const char *name);
/** header_is_returned() - whether a response header is forwarded to the client */
bool header_is_returned (const char *name);
/** header_collect_forwarded() - puts those of the request's headers that are forwarded into @out,
 * which borrows their text; at most @limit. Return: the number of headers in @out */
uint32_t
header_collect_forwarded (struct evkeyvalq *headers, http_client_header_t *out, uint32_t limit);

#endif
