/**
 * DOC: admin_call
 *
 * HTTP calls to the administrative interface of daemons, one at a time or many in parallel. Calls
 * carry a seal, an authentication code made with the fleet key, when that key is configured.
 */
#ifndef CTL_ADMIN_CALL_H
#define CTL_ADMIN_CALL_H

#include "ctl.h"
#include "request/policy/engines/membership.h"

#include <glib.h>

#define ADMIN_CALL_STATUS_PATH "/medlarplank/status"
#define ADMIN_CALL_CONCURRENCY 32 /* number of calls in flight at a time */
#define ADMIN_CALL_RESPONSE_MAX_BYTES (16 * 1024 * 1024)

/** Kinds of authentication of a call. */
typedef enum
{
  ADMIN_CALL_SEAL_NONE, /* none */
  ADMIN_CALL_SEAL_READ, /* the seal that daemons use for calls among each other; for reads */
  ADMIN_CALL_SEAL_DRAIN /* the seal of a drain order; the current time is added to the query */
} admin_call_seal_t;

/**
 * struct admin_call - one administrative call, with its result
 * @address: address of the daemon
 * @name: name of the daemon's host, which the seal covers
 * @method: HTTP method
 * @path: HTTP path without the query
 * @query: query without "?", or NULL
 * @seal: how the call is authenticated
 * @status: HTTP status of the response, 0 when no complete response arrived
 * @body: body of the response, NUL-terminated; freed by admin_call_clear_all()
 */
typedef struct
{
  address_t address;
  char name[LIMIT_NAME_BYTES];
  const char *method;
  const char *path;
  const char *query;
  admin_call_seal_t seal;
  int status;
  GString *body;
} admin_call_t;

/** admin_call_run_all() - run the calls in parallel and wait until all have ended */
void admin_call_run_all (ctl_t *ctl, admin_call_t *calls, uint32_t count);
/** admin_call_clear_all() - free the response bodies of the calls */
void admin_call_clear_all (admin_call_t *calls, uint32_t count);
/**
 * admin_call_fetch_name() - set @call->name to the host name that the daemon at @call->address
 * reports
 *
 * Return: whether the daemon answered with a name
 */
bool admin_call_fetch_name (ctl_t *ctl, admin_call_t *call);
/**
 * admin_call_fetch_manifest() - fetch the manifest that is in force at a daemon
 *
 * Return: the JSON text of the response, to be freed; NULL when it can't be fetched
 */
char *admin_call_fetch_manifest (ctl_t *ctl, const address_t *address);

/**
 * host_list_fetch() - fetch the platform's host list
 * @outcome: receives the outcome of the fetch
 *
 * Return: an array of membership_list_entry_t to be freed, empty when the list can't be fetched
 */
GArray *host_list_fetch (ctl_t *ctl, platform_outcome_t *outcome);
/** host_list_find() - find a host by name. Return: its entry in @hosts, or NULL */
const membership_list_entry_t *host_list_find (const GArray *hosts, const char *name);

#endif
