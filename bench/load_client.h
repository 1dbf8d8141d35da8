/**
 * DOC: load_client
 *
 * HTTP client of the load tool over evhttp, with persistent connections. It shares no code with the
 * daemons' HTTP client, so that a fault on one side can't be hidden by the same fault on the other.
 */
#ifndef BENCH_LOAD_CLIENT_H
#define BENCH_LOAD_CLIENT_H

#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct load_client load_client_t;

/**
 * struct load_client_answer - how a request ended; valid during the callback
 * @failure: "connect" (no connection or no answer), "cut" (the connection closed before the end),
 *   "timeout" or "no_length" (neither Content-Length nor Transfer-Encoding); NULL if the answer is
 *   complete
 * @status: HTTP status, 0 if none was read
 * @verdict, @engine: values of these headers of the answer, or NULL
 * @first_us, @end_us: g_get_monotonic_time() of the first and the last byte of the body
 */
typedef struct
{
  const char *failure;
  int status;
  const char *verdict;
  const char *engine;
  const GString *body;
  uint64_t first_us;
  uint64_t end_us;
} load_client_answer_t;

typedef void (*load_client_done_t) (const load_client_answer_t *answer, void *context);

typedef struct
{
  const char *name;
  const char *value;
} load_client_header_t;

/**
 * struct load_client_request - one request; everything in it is copied
 * @headers: ends with a NULL name; a header with a NULL value is not sent
 * @body: sent with POST only
 * @timeout_ms: from sending to the last byte of the answer
 */
typedef struct
{
  const address_t *address;
  const char *method;
  const char *target;
  const load_client_header_t *headers;
  const GString *body;
  uint64_t timeout_ms;
  load_client_done_t done;
  void *context;
} load_client_request_t;

load_client_t *load_client_new (struct event_base *base);
void load_client_free (load_client_t *client);
/** load_client_send() - sends a request; @done is called exactly once, after load_client_send() has
 * returned */
void load_client_send (load_client_t *client, const load_client_request_t *request);

#endif
