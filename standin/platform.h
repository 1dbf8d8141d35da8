/**
 * DOC: platform
 *
 * The state of the stand-in platform, shared by its files: platform_calls.c answers the calls of
 * the log, platform_admin.c the list of hosts and what tests ask.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "http.h"
#include "platform_hosts.h"
#include "platform_log.h"

#include <glib.h>

typedef enum
{
  SPL_UP,
  SPL_DOWN,         /* every call is cut */
  SPL_SLOW,         /* appends take effect at once, all answers come late */
  SPL_SLOW_EFFECT,  /* appends take effect late too */
  SPL_LOSE_ANSWERS, /* appends take effect and are cut */
  SPL_LOSE_APPENDS, /* appends take no effect and are cut */
  SPL_REFUSE        /* appends are refused for certain */
} spl_log_state_t;

typedef struct
{
  const char *listen;
  uint64_t retain_records;
  uint64_t retain_bytes;
  uint64_t list_lag_us;
  uint64_t appends_s;
} spl_options_t;

/**
 * struct spl - the platform
 * @keyed: the keyed topics; of the log's states they know up, down and refuse
 * @fault_stream: the stream that the log's fault is for; NULL is all
 * @fault_count: calls that the fault still applies to; 0 is until it is changed
 * @append_credit_us: token bucket of the append rate
 */
typedef struct
{
  spl_options_t options;
  struct event_base *base;
  plg_t *log;
  struct kst *keyed;
  phl_t *hosts;
  GQueue waiters; /* spl_pending_t */
  spl_log_state_t log_state;
  uint64_t slow_us;
  char *fault_stream;
  uint64_t fault_count;
  bool list_down;
  int64_t append_credit_us;
  uint64_t credited_us;
  uint64_t appends;
  uint64_t reads;
  uint64_t refused;
} spl_t;

/** spl_log_append() - POST /log/append */
void spl_log_append (spl_t *platform, sht_call_t *call);
/** spl_log_read() - GET /log/read */
void spl_log_read (spl_t *platform, sht_call_t *call);
/** spl_cut_waiters() - the log went down: cut the reads that wait */
void spl_cut_waiters (spl_t *platform);
/** spl_admin() - any call: answers it or hands it on by its path */
void spl_admin (spl_t *platform, sht_call_t *call);

void spl_answer_error (sht_call_t *call, int status, const char *message);
uint64_t spl_now_us (void);

#endif
