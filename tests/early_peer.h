/**
 * DOC: early_peer
 *
 * A server for tests, on a thread of its own, that answers once it has read the head of a request,
 * reads nothing of its body, and then ends the connection.
 */
#ifndef TESTS_EARLY_PEER_H
#define TESTS_EARLY_PEER_H

#include "base/settings.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct early_peer_play - the answer to each request
 * @text: sent after the head of a request
 * @more: sent @delay_us later; NULL for nothing
 * @delay_us: also the time from the last byte to the end
 * @resets: reset the connection, otherwise close its sending side and read on
 */
typedef struct
{
  const char *text;
  const char *more;
  uint32_t delay_us;
  bool resets;
} early_peer_play_t;

typedef struct early_peer early_peer_t;

/** early_peer_new() - listen on a port of raw_peer_loopback_address() */
early_peer_t *early_peer_new (void);
void early_peer_free (early_peer_t *peer);
const address_t *early_peer_address (const early_peer_t *peer);
/** early_peer_set_play() - how requests are answered from now on; the texts are not copied */
void early_peer_set_play (early_peer_t *peer, const early_peer_play_t *play);
/** early_peer_request_count() - heads that were read so far */
uint32_t early_peer_request_count (early_peer_t *peer);

#endif
