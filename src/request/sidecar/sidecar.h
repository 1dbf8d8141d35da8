/**
 * DOC: sidecar
 *
 * The data task of a sidecar: routers' HTTP, admission, its engine.
 */
#ifndef REQUEST_SIDECAR_SIDECAR_H
#define REQUEST_SIDECAR_SIDECAR_H

#include "base/daemon.h"

typedef struct sdc sdc_t;

sdc_t *sdc_new (dmn_t *dmn, struct event_base *base, GError **error);
void sdc_free (sdc_t *sdc);
/** sdc_message() - handler of the data task's mailbox */
void sdc_message (mbx_message_t *message, void *context);

#endif
