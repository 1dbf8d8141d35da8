/**
 * DOC: cut_peer
 *
 * A server for tests that answers with given bytes, NULs too, all at once or a few at a time, and
 * ends the connection after them in the way that a test chooses. "GET /health" is answered "ok".
 */
#ifndef TESTS_CUT_PEER_H
#define TESTS_CUT_PEER_H

#include "base/settings.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  CUT_PEER_FIN,      /* close the connection */
  CUT_PEER_RESET,    /* reset it */
  CUT_PEER_LATE_FIN, /* close it a moment after the last byte */
  CUT_PEER_SILENCE,  /* keep it open */
  CUT_PEER_END_COUNT
} cut_peer_end_t;

/**
 * struct cut_peer_play - the answer to each request but the one of @kept
 * @step: bytes sent at a time, 0 for all
 * @kept: the first request on each connection gets an answer of its own, "ok"
 * @then: the play from the next request on; NULL for the same one
 */
typedef struct cut_peer_play
{
  const char *bytes;
  size_t count;
  size_t step;
  cut_peer_end_t end;
  bool kept;
  const struct cut_peer_play *then;
} cut_peer_play_t;

typedef struct cut_peer cut_peer_t; /* a server and its connections */

/** cut_peer_new() - listen on a port of raw_peer_loopback_address(), with the last byte of the
 * address raised by @host */
cut_peer_t *cut_peer_new (struct event_base *base, uint32_t host);
void cut_peer_free (cut_peer_t *peer);
const address_t *cut_peer_address (const cut_peer_t *peer);
/** cut_peer_set_play() - how requests are answered from now on; the bytes are not copied */
void cut_peer_set_play (cut_peer_t *peer, const cut_peer_play_t *play);
/** cut_peer_request_count() - requests so far, without those answered "ok" */
uint32_t cut_peer_request_count (const cut_peer_t *peer);

#endif
