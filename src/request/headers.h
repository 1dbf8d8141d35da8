/**
 * DOC: headers
 *
 * Which HTTP headers go on from one connection to the next. Those that belong to a connection stay
 * there, and those that the fleet itself speaks in are never taken over from a caller or an engine.
 */
#ifndef REQUEST_HEADERS_H
#define REQUEST_HEADERS_H

#include "connection/http_client.h"

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stdint.h>

#define HDR_FLEET_PREFIX "X-Medlarplank-"

/** hdr_is_of_connection() - whether a header concerns only the connection that it came on, and is
 * set anew on the next one */
bool hdr_is_of_connection (const char *name);
/** hdr_passes_on() - whether a request header goes on towards the engine */
bool hdr_passes_on (const char *name);
/** hdr_passes_back() - whether an answer header goes back towards the caller */
bool hdr_passes_back (const char *name);
/** hdr_collect() - those of @headers that pass on, borrowed. Return: how many were put in @out */
uint32_t hdr_collect (struct evkeyvalq *headers, hcl_header_t *out, uint32_t limit);

#endif
