/**
 * DOC: gateway_origins
 *
 * Tells other gateways at which software version the streams of this one began, and asks them about
 * streams that it doesn't know (see origin_keepers.h). Streams are told in batches, within the
 * spare part of the byte budget.
 */
#ifndef PROCESS_GATEWAY_ORIGINS_H
#define PROCESS_GATEWAY_ORIGINS_H

#include "base/clock.h"
#include "base/counters.h"
#include "process/gateway_peers.h"
#include "request/policy/streams/stream_origins.h"

#include <event2/event.h>

/* Streams that begin within this time are told together; many end in it and are not told at all. */
#define GATEWAY_ORIGINS_TELL_MS 100
/* Streams for one gateway, beyond which the oldest are not told. */
#define GATEWAY_ORIGINS_BATCH_MAX 256
#define GATEWAY_ORIGINS_QUESTIONS_MAX 64 /* that wait to be sent */

/**
 * struct gateway_origins_options - options of gateway_origins_new(); the pointers are borrowed
 * @table: the streams; what others tell is added to it
 * @on_known: others told of streams
 * @on_asked: a question was sent to @sent of the @keepers gateways that may know the stream
 * @on_unknown: the gateway with the hash @peer doesn't know a stream that it was asked for
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  gateway_peers_t *peers;
  stream_origins_t *table;
  void (*on_known) (void *context);
  void (*on_asked) (uint64_t stream, uint32_t keepers, uint32_t sent, void *context);
  void (*on_unknown) (uint64_t stream, uint64_t peer, void *context);
  void *context;
} gateway_origins_options_t;

typedef struct gateway_origins gateway_origins_t;

gateway_origins_t *gateway_origins_new (const gateway_origins_options_t *options);
void gateway_origins_free (gateway_origins_t *origins);
/** gateway_origins_tell() - tells the streams that are due, see stream_origins_tell(). @at_once:
 * one of them was broken off, so its client may be at another gateway already */
void gateway_origins_tell (gateway_origins_t *origins, bool at_once);
/** gateway_origins_ask() - asks the gateways that may know a stream */
void gateway_origins_ask (gateway_origins_t *origins, uint64_t stream, uint64_t service_hash);
/** gateway_origins_receive() - handles a message of another gateway */
void gateway_origins_receive (gateway_origins_t *origins, const xch_origins_message *message);

#endif
