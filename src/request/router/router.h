/**
 * DOC: router
 *
 * The data task of a router: callers' HTTP, placement, attempts, relay.
 */
#ifndef REQUEST_ROUTER_ROUTER_H
#define REQUEST_ROUTER_ROUTER_H

#include "base/daemon.h"

typedef struct rtr rtr_t;

rtr_t *rtr_new (dmn_t *dmn, struct event_base *base, GError **error);
void rtr_free (rtr_t *rtr);
/** rtr_message() - handler of the data task's mailbox */
void rtr_message (mbx_message_t *message, void *context);

#endif
