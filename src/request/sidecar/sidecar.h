/**
 * DOC: sidecar
 *
 * The data task of a sidecar. It accepts HTTP requests from routers, admits, queues or refuses
 * them, and forwards them to the engine of its host.
 */
#ifndef REQUEST_SIDECAR_SIDECAR_H
#define REQUEST_SIDECAR_SIDECAR_H

#include "base/daemon.h"

typedef struct sidecar sidecar_t;

/** sidecar_new() - Return: NULL with @error set when the HTTP listener cannot be opened */
sidecar_t *sidecar_new (daemon_t *daemon, struct event_base *base, GError **error);
/** sidecar_free() - aborts all requests in flight; NULL is allowed */
void sidecar_free (sidecar_t *sidecar);
/** sidecar_handle_message() - handler of the data task's mailbox; @context is the sidecar_t */
void sidecar_handle_message (mailbox_message_t *message, void *context);

#endif
