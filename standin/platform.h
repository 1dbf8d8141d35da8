/**
 * DOC: platform
 *
 * Shared state of the stand-in platform: platform_calls.c answers the calls of the log,
 * platform_admin.c the host list and the administrative calls of tests.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "http_call.h"
#include "host_list.h"
#include "record_log.h"

#include <glib.h>

/** enum standin_platform_log_state - the injected fault of the log */
typedef enum
{
  STANDIN_PLATFORM_LOG_UP,
  STANDIN_PLATFORM_LOG_DOWN,         /* every connection is closed without an answer */
  STANDIN_PLATFORM_LOG_SLOW,         /* appends are applied immediately, all answers are delayed */
  STANDIN_PLATFORM_LOG_SLOW_EFFECT,  /* appends are applied after the delay, too */
  STANDIN_PLATFORM_LOG_LOSE_ANSWERS, /* appends are applied but not answered */
  STANDIN_PLATFORM_LOG_LOSE_APPENDS, /* appends are neither applied nor answered */
  STANDIN_PLATFORM_LOG_REFUSE        /* appends are refused with status 503 and not applied */
} standin_platform_log_state_t;

/**
 * struct standin_platform_options - command-line options
 * @listen: address to listen on, IP:PORT
 * @retain_records: records that each stream retains
 * @retain_bytes: bytes that each stream retains
 * @list_lag_us: delay before readers see a change of the host list
 * @max_appends_s: limit on appends per second; 0 is unlimited
 * @entry_ttl_us: time after which an engine entry that is not renewed expires
 */
typedef struct
{
  const char *listen;
  uint64_t retain_records;
  uint64_t retain_bytes;
  uint64_t list_lag_us;
  uint64_t max_appends_s;
  uint64_t entry_ttl_us;
} standin_platform_options_t;

/**
 * struct standin_platform_t - the platform
 * @log: the streams
 * @keyed: the keyed topics; only STANDIN_PLATFORM_LOG_DOWN and STANDIN_PLATFORM_LOG_REFUSE of
 * @log_state affect them
 * @hosts: the host list
 * @waiters: reads of the log that wait for a record
 * @log_state: current fault of the log
 * @slow_delay_us: delay of STANDIN_PLATFORM_LOG_SLOW and STANDIN_PLATFORM_LOG_SLOW_EFFECT
 * @fault_stream: the only stream that the fault applies to; NULL is all streams
 * @fault_calls_left: calls that the fault still applies to; 0 is no limit
 * @list_down: whether reads of the host list are aborted
 * @append_credit_us: token bucket of the append rate, in microseconds of accrued time
 * @credit_updated_us: when @append_credit_us was updated, on the monotonic clock
 * @era: how often the platform came back from a copy
 * @appends: applied appends, of the log and the keyed topics
 * @reads: reads of the log and all calls to the keyed topics
 * @refused: refused appends to the log
 */
typedef struct
{
  standin_platform_options_t options;
  struct event_base *base;
  record_log_t *log;
  struct keyed_store *keyed;
  host_list_t *hosts;
  GQueue waiters;
  standin_platform_log_state_t log_state;
  uint64_t slow_delay_us;
  char *fault_stream;
  uint64_t fault_calls_left;
  bool list_down;
  int64_t append_credit_us;
  uint64_t credit_updated_us;
  uint64_t era;
  uint64_t appends;
  uint64_t reads;
  uint64_t refused;
} standin_platform_t;

/** standin_platform_handle_append() - handles POST /log/append */
void standin_platform_handle_append (standin_platform_t *platform, http_call_t *call);
/** standin_platform_handle_read() - handles GET /log/read */
void standin_platform_handle_read (standin_platform_t *platform, http_call_t *call);
/** standin_platform_abort_waiters() - closes the connections of waiting reads, when the log goes
 * down */
void standin_platform_abort_waiters (standin_platform_t *platform);
/** standin_platform_handle_call() - handles any call, by its method and path */
void standin_platform_handle_call (standin_platform_t *platform, http_call_t *call);

/** standin_platform_answer_error() - answers with an error as JSON; ends the call */
void standin_platform_answer_error (http_call_t *call, int status, const char *message);
/** standin_platform_now_us() - the monotonic clock */
uint64_t standin_platform_now_us (void);

#endif
