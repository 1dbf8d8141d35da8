/**
 * DOC: sidecar
 *
 * The data task of a sidecar. It accepts HTTP requests from routers, admits, queues or refuses
 * them, and forwards them to the engine of its host.
 */
#ifndef REQUEST_SIDECAR_SIDECAR_H
#define REQUEST_SIDECAR_SIDECAR_H

#include "base/daemon.h"

typedef struct sidecar sdc_t;

/** sdc_new() - Return: NULL with @error set when the HTTP listener cannot be opened */
sdc_t *sdc_new (dmn_t *daemon, struct event_base *base, GError **error);
/** sdc_free() - aborts all requests in flight; NULL is allowed */
void sdc_free (sdc_t *sidecar);
/** sdc_message() - handler of the data task's mailbox; @context is the sdc_t */
void sdc_message (mbx_message_t *message, void *context);

#endif
