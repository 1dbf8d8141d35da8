/**
 * DOC: ask
 *
 * HTTP calls to the administrative interface of daemons, one at a time or many in parallel. Calls
 * carry a seal, an authentication code made with the fleet key, when that key is configured.
 */
#ifndef CTL_ASK_H
#define CTL_ASK_H

#include "ctl.h"
#include "request/policy/member.h"

#include <glib.h>

#define ASK_STATUS_PATH "/medlarplank/status"
#define ASK_AT_ONCE 32 /* number of calls in flight at a time */
#define ASK_ANSWER_LIMIT_BYTES (16 * 1024 * 1024)

/** Kinds of authentication of a call. */
typedef enum
{
  ASK_OPEN, /* none */
  ASK_CALL, /* the seal that daemons use for calls among each other; for reads */
  ASK_DRAIN /* the seal of a drain order; the current time is added to the query */
} ask_seal_t;

/**
 * struct ask_call - one administrative call, with its result
 * @address: address of the daemon
 * @name: name of the daemon's host, which the seal covers
 * @method: HTTP method
 * @path: HTTP path without the query
 * @query: query without "?", or NULL
 * @seal: how the call is authenticated
 * @status: HTTP status of the response, 0 when no complete response arrived
 * @body: body of the response, NUL-terminated; freed by ask_clear()
 */
typedef struct
{
  address_t address;
  char name[LIMIT_NAME_BYTES];
  const char *method;
  const char *path;
  const char *query;
  ask_seal_t seal;
  int status;
  GString *body;
} ask_call_t;

/** ask_all() - run the calls in parallel and wait until all have ended */
void ask_all (ctl_t *ctl, ask_call_t *calls, uint32_t count);
/** ask_clear() - free the response bodies of the calls */
void ask_clear (ask_call_t *calls, uint32_t count);
/**
 * ask_name() - set @call->name to the host name that the daemon at @call->address reports
 *
 * Return: whether the daemon answered with a name
 */
bool ask_name (ctl_t *ctl, ask_call_t *call);
/**
 * ask_manifest() - fetch the manifest that is in force at a daemon
 *
 * Return: the JSON text of the response, to be freed; NULL when it can't be fetched
 */
char *ask_manifest (ctl_t *ctl, const address_t *address);

/**
 * ask_hosts() - fetch the platform's host list
 * @outcome: receives the outcome of the fetch
 *
 * Return: an array of membership_list_entry_t to be freed, empty when the list can't be fetched
 */
GArray *ask_hosts (ctl_t *ctl, platform_outcome_t *outcome);
/** ask_host_named() - find a host by name. Return: its entry in @hosts, or NULL */
const membership_list_entry_t *ask_host_named (const GArray *hosts, const char *name);

#endif
