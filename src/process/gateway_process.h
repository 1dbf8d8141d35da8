/**
 * DOC: gateway_process
 *
 * A gateway from start to stop: applies the routing rules and the engine registry of the platform's
 * store to the task that handles client requests, answers the load balancer's readiness checks and
 * stops gracefully. Runs on one thread; the caller runs the event loop.
 */
#ifndef PROCESS_GATEWAY_PROCESS_H
#define PROCESS_GATEWAY_PROCESS_H

#include "connection/platform.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "request/gateway/format.h"
#include "version/routing.h"

#include <event2/event.h>

/*
 * After its start a gateway accepts no client connections until it is ready, for at most this time.
 * When all gateways were killed, clients that reconnect at once would otherwise be refused by each
 * gateway that has not loaded the routing rules yet, which takes 0.1 s. Of clients that have one
 * second left, the wait uses up less than a third of it.
 */
#define GATEWAY_PROCESS_ACCEPT_DELAY_MAX_MS 300
#define GATEWAY_PROCESS_CRASHES_MAX 1024 /* requests remembered during which engines ended */
/* Callers send such a request again within minutes. */
#define GATEWAY_PROCESS_CRASH_LIFETIME_US (UINT64_C (600) * CLOCK_US_PER_S)
/* Streams whose software version is remembered: those of this gateway and of the gateways that it
 * keeps them for, some 80 a second for up to a minute in a large fleet. */
#define GATEWAY_PROCESS_ORIGINS_MAX 16384
#define GATEWAY_PROCESS_TICK_MS 100 /* interval of periodic work */
/* How long an engine is kept whose registry entry may have expired during an outage of the store: a
 * live engine has renewed its entry by then. */
#define GATEWAY_PROCESS_EXPIRED_ENGINE_MS 2500

/**
 * struct gateway_process_parsers - parsers of the store's records
 * @routing: parses routing rules; unchanged parts may be shared with @before, the table in force,
 *   which may be NULL. Returns a table, or NULL with @error
 * @version: returns the version of routing rules, 0 when they are invalid
 * @engine: parses an engine entry into @out. Returns false with @error when it is invalid
 */
typedef struct
{
  routing_t *(*routing) (const char *text,
                         size_t text_bytes,
                         const routing_t *before,
                         GError **error);
  uint64_t (*version) (const char *text, size_t text_bytes);
  bool (*engine) (
      engine_entry_t *out, const char *id, const char *text, size_t text_bytes, GError **error);
} gateway_process_parsers_t;

/**
 * struct gateway_process_options - options of gateway_process_new()
 * @platform: client of the platform's store; owned by the new object
 * @incarnation: start time of this process, in milliseconds since 1970
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  counter_registry_t *counters;
  const settings_t *settings;
  platform_t *platform;
  const format_t *format;
  gateway_process_parsers_t readers;
  uint64_t incarnation;
} gateway_process_options_t;

typedef struct gateway_process gateway_process_t;

/** gateway_process_new() - opens all listeners. Return: NULL with @error when one cannot be opened
 */
gateway_process_t *gateway_process_new (const gateway_process_options_t *options, GError **error);
void gateway_process_free (gateway_process_t *process);
/** gateway_process_stop() - begins a graceful stop; the event loop exits once all requests are
 * answered, or %STOP_GRACE_EXIT_MARGIN_US before the end of the grace time */
void gateway_process_stop (gateway_process_t *process);
/** gateway_process_is_ready() - whether the gateway has loaded routing rules and engines, is not
 * stopping, and can take connections */
bool gateway_process_is_ready (const gateway_process_t *process);
/** gateway_process_port() - port of the listener for client requests, also one that the system
 * chose */
uint16_t gateway_process_port (const gateway_process_t *process);

#endif
