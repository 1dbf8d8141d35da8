/**
 * DOC: early_peer
 *
 * A server for tests, on a thread of its own, that answers once it has read the head of a request,
 * reads nothing of its body, and then ends the connection.
 */
#ifndef TESTS_EARLY_PEER_H
#define TESTS_EARLY_PEER_H

#include "base/settings.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct early_peer_play - the answer to each request
 * @text: sent after the head of a request
 * @more: sent after that; NULL for nothing
 * @waits: before @more, and before the end, wait until the loop has read what was sent
 * @resets: reset the connection, otherwise close its sending side and read on
 */
typedef struct
{
  const char *text;
  const char *more;
  bool waits;
  bool resets;
} early_peer_play_t;

typedef struct early_peer early_peer_t;

/** early_peer_new() - listen on a port of raw_peer_loopback_address(); @base: the loop that reads
 * the answers */
early_peer_t *early_peer_new (struct event_base *base);
void early_peer_free (early_peer_t *peer);
const address_t *early_peer_address (const early_peer_t *peer);
/** early_peer_set_play() - how requests are answered from now on; the texts are not copied */
void early_peer_set_play (early_peer_t *peer, const early_peer_play_t *play);
/** early_peer_request_count() - heads that were read so far */
uint32_t early_peer_request_count (early_peer_t *peer);

#endif
