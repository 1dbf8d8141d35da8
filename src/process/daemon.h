/**
 * DOC: daemon
 *
 * What lives as long as the process: the settings, the clock, the counters and the mailboxes of
 * its two tasks. Passed first to both tasks; read-only but for the counters and mailboxes.
 */
#ifndef PROCESS_DAEMON_H
#define PROCESS_DAEMON_H

#include "process/clock.h"
#include "process/counters.h"
#include "process/mailbox.h"
#include "process/settings.h"

#include <event2/event.h>

/**
 * struct dmn - a daemon
 * @incarnation: wall-clock milliseconds of the start, so a restart has a higher one
 * @to_control: mailbox of the control task
 * @to_data: mailbox of the data task
 */
typedef struct
{
  set_t set;
  clk_t clk;
  cnt_set_t *counters;
  uint64_t incarnation;
  mbx_t *to_control;
  mbx_t *to_data;
} dmn_t;

/**
 * The control task (process/control.c): the platform's log and list, the exchange, claims, the
 * version in force, pauses, stopping. Sends to @to_data.
 *
 * A stop: main sends MSG_DRAIN to @to_control, once. The control task passes it on to @to_data,
 * waits for MSG_DRAINED, sends what it still has to, and then ends its own loop with
 * event_base_loopexit (base, NULL). Only then does main end the data task's loop and the process.
 */
typedef struct ctrl ctrl_t;
ctrl_t *ctrl_new (dmn_t *dmn, struct event_base *base, GError **error);
void ctrl_free (ctrl_t *ctrl);
/** ctrl_message() - handler of the control task's mailbox */
void ctrl_message (mbx_message_t *message, void *context);

/** The data task of a router (request/router.c): callers' HTTP, placement, attempts, relay. */
typedef struct rtr rtr_t;
rtr_t *rtr_new (dmn_t *dmn, struct event_base *base, GError **error);
void rtr_free (rtr_t *rtr);
void rtr_message (mbx_message_t *message, void *context);

/** The data task of a sidecar (request/sidecar.c): routers' HTTP, admission, its engine. */
typedef struct sdc sdc_t;
sdc_t *sdc_new (dmn_t *dmn, struct event_base *base, GError **error);
void sdc_free (sdc_t *sdc);
void sdc_message (mbx_message_t *message, void *context);

#endif
