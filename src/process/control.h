/**
 * DOC: control
 *
 * The control task of sidecar and router daemons: it polls the platform's host list and
 * log, exchanges state with other daemons, appends idempotency claims, and keeps the data task
 * informed through the data task's mailbox. It also detects pauses of the process and runs the
 * shutdown.
 *
 * Shutdown: main sends MESSAGE_DRAIN to the control task, once. The control task forwards it to the
 * data task, waits for MESSAGE_DRAINED, appends the claims that are still pending, and then ends
 * its own loop with event_base_loopexit (base, NULL). Only then does main end the data task's loop
 * and the process.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include "base/daemon.h"

typedef struct control control_t;

/**
 * control_new() - start the control task on @base, with the platform of the settings
 *
 * Return: NULL with @error set when the socket of the exchange can't be opened
 */
control_t *control_new (daemon_t *daemon, struct event_base *base, GError **error);
void control_free (control_t *ctrl);
/** control_handle_message() - handler of the control task's mailbox; @context is the control_t */
void control_handle_message (mailbox_message_t *message, void *context);

#endif
