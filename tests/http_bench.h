/**
 * DOC: http_bench
 *
 * A listener under test, whose calls wait until the test answers them, and callers that speak raw
 * bytes to it.
 */
#ifndef TESTS_HTTP_BENCH_H
#define TESTS_HTTP_BENCH_H

#include "connection/http_server.h"
#include "raw_peer.h"

#define HBN_BODY_LIMIT_BYTES 1000
#define HBN_HEADER_LIMIT_BYTES 2000
#define HBN_CONNECTION_LIMIT 3
#define HBN_COMING_LIMIT_BYTES 8000
#define HBN_NO_TIMEOUT_MS (60 * 1000) /* longer than a test waits for anything */

/**
 * struct hbn - a listener whose calls wait in @waiting until a test answers them
 * @now: answer within on_call, by the target
 */
typedef struct
{
  struct event_base *base;
  cnt_set_t *counters;
  hsv_t *hsv;
  set_address_t address;
  GPtrArray *waiting;
  GPtrArray *raws;
  uint32_t calls;
  uint32_t gone;
  uint32_t rooms;
  bool now;
} hbn_t;

/** hbn_new() - with timeouts longer than a test */
hbn_t *hbn_new (void);
hbn_t *hbn_new_timeouts (uint32_t idle_timeout_ms, uint32_t request_timeout_ms);
void hbn_free (hbn_t *bench);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (hbn_t, hbn_free)
/** hbn_counted() - value of a counter */
uint64_t hbn_counted (hbn_t *bench, const char *name);
/** hbn_refused() - requests refused for @reason */
uint64_t hbn_refused (hbn_t *bench, const char *reason);
hsv_call_t *hbn_call_at (hbn_t *bench, guint index);

/* conditions of raw_run_until(); the context is a raw_t, or else the bench */
bool hbn_ended (void *context);
bool hbn_one_waits (void *context);
bool hbn_two_wait (void *context);
bool hbn_one_connected (void *context);
bool hbn_one_gone (void *context);
bool hbn_not_busy (void *context);
void hbn_run_until_sees (hbn_t *bench, raw_t *raw, const char *text);
/** hbn_ask() - a caller that has sent @request; freed by hbn_free() */
raw_t *hbn_ask (hbn_t *bench, const char *request);
/** hbn_ask_waiting() - as hbn_ask(), run until the call waits in @waiting */
raw_t *hbn_ask_waiting (hbn_t *bench, const char *request);
void hbn_check_absent (const raw_t *raw, const char *text);
/** hbn_part() - as hsv_part(), for text */
bool hbn_part (hsv_call_t *call, const char *text);

#endif
