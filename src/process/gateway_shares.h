/**
 * DOC: gateway_shares
 *
 * Keeps what tells the software version of any stream in the platform's store (see version_shares.h
 * and stream_lists.h): the histories of tables among the records of the gateway registry, so that
 * each gateway has them, and the lists of open streams in a stream of their own, which is read on
 * request only. Any gateway that has read the registry may write the next history; the first live
 * one by rendezvous hashing does.
 */
#ifndef PROCESS_GATEWAY_SHARES_H
#define PROCESS_GATEWAY_SHARES_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "connection/platform.h"
#include "process/gateway_store.h"
#include "request/policy/engines/engines.h"
#include "request/policy/streams/stream_origins.h"
#include "request/policy/streams/version_search.h"
#include "version/routing.h"

#include <event2/event.h>

/**
 * struct gateway_shares_options - options of gateway_shares_new(); the pointers are borrowed
 * @origins: the streams of this gateway
 * @incarnation: as in gateway_store_options_t
 * @on_lists: lists of streams were read, or can't be
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  const settings_t *settings;
  platform_t *platform;
  const engines_t *engines;
  const stream_origins_t *origins;
  gateway_store_t *store;
  uint64_t incarnation;
  void (*on_lists) (void *context);
  void *context;
} gateway_shares_options_t;

typedef struct gateway_shares gateway_shares_t;

gateway_shares_t *gateway_shares_new (const gateway_shares_options_t *options);
/** gateway_shares_free() - only after the platform was freed */
void gateway_shares_free (gateway_shares_t *shares);
/** gateway_shares_put() - the history of @service was read, at @position of the registry */
void gateway_shares_put (gateway_shares_t *shares,
                         const char *service,
                         const char *text,
                         size_t bytes,
                         position_t position);
/** gateway_shares_tick() - writes what is due; to be called about every 100 ms. @routing: the rules
 * in force, NULL for none. @is_trusted: no table that this gateway doesn't know is in force */
void gateway_shares_tick (gateway_shares_t *shares, const routing_t *routing, bool is_trusted);
/** gateway_shares_has_table() - whether @service, which is interned, has a table of shares by which
 * streams may begin: not one of an era before that others may have replaced */
bool gateway_shares_has_table (const gateway_shares_t *shares, const char *service);
/** gateway_shares_choose() - the version at which @stream begins. Return: 0, for any version, when
 * there is no table */
uint64_t
gateway_shares_choose (const gateway_shares_t *shares, const char *service, uint64_t stream);
/** gateway_shares_is_certain() - whether the tables alone tell that @stream began at @version */
bool gateway_shares_is_certain (const gateway_shares_t *shares,
                                const char *service,
                                uint64_t stream,
                                uint64_t version);
/** gateway_shares_last_epoch() - number of the last table of @service, 0 for none */
uint64_t gateway_shares_last_epoch (const gateway_shares_t *shares, const char *service);
/**
 * gateway_shares_find() - looks for the version at which a stream of any gateway began
 * @stream: 0 for one that its client doesn't name
 * @since_us: what was read before may be too old
 */
version_search_t gateway_shares_find (gateway_shares_t *shares,
                                      const char *service,
                                      uint64_t stream,
                                      uint64_t since_us);

#endif
