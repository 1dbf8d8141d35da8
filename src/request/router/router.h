/**
 * DOC: router
 *
 * The data task of a router. It accepts HTTP requests from callers, chooses candidate engines,
 * sends each request to their sidecars until one answers, and relays the answer.
 */
#ifndef REQUEST_ROUTER_ROUTER_H
#define REQUEST_ROUTER_ROUTER_H

#include "base/daemon.h"

typedef struct router router_t;

/** router_new() - Return: NULL with @error set when the HTTP listener cannot be opened */
router_t *router_new (daemon_t *daemon, struct event_base *base, GError **error);
/** router_free() - aborts all requests in flight; NULL is allowed */
void router_free (router_t *router);
/** router_handle_message() - handler of the data task's mailbox; @context is the router_t */
void router_handle_message (mailbox_message_t *message, void *context);

#endif
