/**
 * DOC: flood_peer
 *
 * Peers that send bytes without end, as a server or as a client, each in a thread of its own, so
 * that the processor time of the code under test can be told from theirs.
 */
#ifndef TESTS_FLOOD_PEER_H
#define TESTS_FLOOD_PEER_H

#include "base/settings.h"

typedef struct flood_peer flood_peer_t; /* a peer and its thread */

/**
 * struct flood - what a peer sends
 * @begin: sent once
 * @unit: sent again and again
 * @pause_ms: between units; 0 to send as many as the other side takes
 */
typedef struct
{
  const char *name;
  const char *begin;
  const char *unit;
  uint32_t pause_ms;
} flood_t;

/** flood_peer_listen() - send @flood on one connection after another, after each first read */
flood_peer_t *flood_peer_listen (const flood_t *flood, address_t *address);
/** flood_peer_connect() - send @flood to @address */
flood_peer_t *flood_peer_connect (const flood_t *flood, const address_t *address);
/** flood_peer_sent_bytes() - what the peer's socket took so far */
uint64_t flood_peer_sent_bytes (flood_peer_t *peer);
/** flood_peer_is_over() - whether the last connection was closed by the other side */
bool flood_peer_is_over (flood_peer_t *peer);
/** flood_peer_text() - what a client received until its connection was closed */
const char *flood_peer_text (flood_peer_t *peer);
/** flood_peer_free() - close the connection and end the thread */
void flood_peer_free (flood_peer_t *peer);

#endif
