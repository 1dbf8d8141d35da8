/**
 * DOC: ask
 *
 * Admin calls to daemons over HTTP: one or many at once, sealed under the fleet key when there is
 * one.
 */
#ifndef CTL_ASK_H
#define CTL_ASK_H

#include "ctl.h"
#include "request/policy/member.h"

#include <glib.h>

#define ASK_STATUS_PATH "/medlarplank/status"
#define ASK_AT_ONCE 32 /* calls that are in flight at once */
#define ASK_ANSWER_LIMIT_BYTES (16 * 1024 * 1024)

typedef enum
{
  ASK_OPEN, /* not sealed */
  ASK_CALL, /* as daemons seal their calls on each other: a read */
  ASK_DRAIN /* as an order with a time, which is added to the query */
} ask_seal_t;

/**
 * struct ask_call - one call
 * @address: whom to ask
 * @name: the host's name, for the seal
 * @method, @path, @query: @query is without "?", or NULL
 * @seal: how the call is sealed
 * @status: of the answer, 0 when none came whole
 * @body: of the answer, ended by a NUL; to be freed by ask_clear()
 */
typedef struct
{
  set_address_t address;
  char name[LIM_NAME_BYTES];
  const char *method;
  const char *path;
  const char *query;
  ask_seal_t seal;
  int status;
  GString *body;
} ask_call_t;

/** ask_all() - make the calls and wait for all of them */
void ask_all (ctl_t *ctl, ask_call_t *calls, uint32_t count);
void ask_clear (ask_call_t *calls, uint32_t count);
/** ask_name() - set @call->name to what the daemon calls itself. Return: whether it answered */
bool ask_name (ctl_t *ctl, ask_call_t *call);
/** ask_manifest() - what a daemon says is in force, as JSON text to be freed, or NULL */
char *ask_manifest (ctl_t *ctl, const set_address_t *address);

/** ask_hosts() - the platform's list; an empty array of mem_listed_t when it can't be had */
GArray *ask_hosts (ctl_t *ctl, plt_outcome_t *outcome);
/** ask_host_named() - an entry of such a list, or NULL */
const mem_listed_t *ask_host_named (const GArray *hosts, const char *name);

#endif
