/**
 * DOC: load_client
 *
 * HTTP requests of the load tool over evhttp, on connections that are kept. On purpose not the
 * fleet's own client, so that one fault cannot hide another.
 */
#ifndef BENCH_LOAD_CLIENT_H
#define BENCH_LOAD_CLIENT_H

#include "base/settings.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct lcl lcl_t;

/**
 * struct lcl_answer - how a request ended
 * @failure: "connect", "cut" or "timeout"; NULL when a whole answer came
 * @verdict, @engine: headers of the answer, or NULL
 * @first_us, @end_us: when the first byte of the body came, and the last
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
} lcl_answer_t;

typedef void (*lcl_done_t) (const lcl_answer_t *answer, void *context);

typedef struct
{
  const char *name;
  const char *value;
} lcl_header_t;

/** struct lcl_request - one request; all is copied. @headers end with a NULL name; a header whose
 * value is NULL is left out */
typedef struct
{
  const set_address_t *address;
  const char *method;
  const char *target;
  const lcl_header_t *headers;
  const GString *body;
  uint64_t timeout_ms;
  lcl_done_t done;
  void *context;
} lcl_request_t;

lcl_t *lcl_new (struct event_base *base);
void lcl_free (lcl_t *lcl);
/** lcl_send() - @done is called exactly once, never from within */
void lcl_send (lcl_t *lcl, const lcl_request_t *request);

#endif
