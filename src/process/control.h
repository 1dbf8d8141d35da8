/**
 * DOC: control
 *
 * The control task of a daemon with sidecars: the platform's log and list, the exchange, claims,
 * the version in force, pauses, stopping. Sends to the data task's mailbox.
 *
 * A stop: main sends MSG_DRAIN to it, once. It passes that on to the data task, waits for
 * MSG_DRAINED, sends what it still has to, and then ends its own loop with
 * event_base_loopexit (base, NULL). Only then does main end the data task's loop and the process.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include "base/daemon.h"

typedef struct ctrl ctrl_t;

ctrl_t *ctrl_new (dmn_t *dmn, struct event_base *base, GError **error);
void ctrl_free (ctrl_t *ctrl);
/** ctrl_message() - handler of the control task's mailbox */
void ctrl_message (mbx_message_t *message, void *context);

#endif
