/**
 * DOC: router
 *
 * The data task of a router. It accepts HTTP requests from callers, chooses candidate engines,
 * sends each request to their sidecars until one answers, and relays the answer.
 */
#ifndef REQUEST_ROUTER_ROUTER_H
#define REQUEST_ROUTER_ROUTER_H

#include "base/daemon.h"

typedef struct router rtr_t;

/** rtr_new() - Return: NULL with @error set when the HTTP listener cannot be opened */
rtr_t *rtr_new (dmn_t *daemon, struct event_base *base, GError **error);
/** rtr_free() - aborts all requests in flight; NULL is allowed */
void rtr_free (rtr_t *router);
/** rtr_message() - handler of the data task's mailbox; @context is the rtr_t */
void rtr_message (mbx_message_t *message, void *context);

#endif
