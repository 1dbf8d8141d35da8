/**
 * DOC: verdict
 *
 * States whether an engine may have executed a request. Every attempt ends with a verdict, and
 * every error response to a client carries it in the header %VRD_HEADER and in the body.
 */
#ifndef REQUEST_POLICY_VERDICT_H
#define REQUEST_POLICY_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#define VRD_HEADER "X-Medlarplank-Verdict"

typedef enum
{
  VRD_NOT_RUN,      /* no engine has executed the request, and none will */
  VRD_MAY_HAVE_RUN, /* unknown: an engine may have executed the request */
  VRD_RAN           /* an engine executed the request */
} vrd_t;

/**
 * enum vrd_reason - why a request was rejected or failed
 *
 * After a reason up to VRD_REASON_WRONG_SERVICE the router tries another engine.
 */
typedef enum
{
  VRD_REASON_NONE,
  VRD_REASON_OVER_BOUND, /* the request would raise the engine's load above its bound */
  VRD_REASON_LEAVING,    /* the host is shutting down */
  VRD_REASON_ELSEWHERE,  /* the first referral has the chat's context in its cache */
  VRD_REASON_COLD,       /* the home engine referred the chat here, but its context isn't cached */
  VRD_REASON_STALE,      /* the daemon resumed after a pause; its cluster state is out of date */
  VRD_REASON_SUSPECT_HERE,   /* this engine crashed earlier while it ran the request */
  VRD_REASON_QUARANTINE,     /* another request that crashed an engine runs here */
  VRD_REASON_NO_ENGINE,      /* the engine beside the sidecar does not answer */
  VRD_REASON_WRONG_SERVICE,  /* the manifest in force doesn't assign this service to the engine */
  VRD_REASON_QUEUE_FULL,     /* the queue has reached its limit */
  VRD_REASON_DEADLINE,       /* the request can't start before its deadline */
  VRD_REASON_ACCOUNT_SHARE,  /* the client account's part of the queue is full */
  VRD_REASON_REVOKED,        /* the router cancelled this attempt */
  VRD_REASON_SUSPECT,        /* final: it crashed the maximum of engines for one request */
  VRD_REASON_CLAIMED,        /* another attempt holds the same idempotency key */
  VRD_REASON_KEY_REUSED,     /* the idempotency key was used before with another body */
  VRD_REASON_KEY_TOO_OLD,    /* the idempotency key is older than claims are kept */
  VRD_REASON_LOG_DOWN,       /* the key can't be claimed while the log is unavailable */
  VRD_REASON_CUT,            /* the connection broke before the response was complete */
  VRD_REASON_CROSSED,        /* the response belongs to another attempt */
  VRD_REASON_TIMEOUT,        /* a time limit expired */
  VRD_REASON_CONNECT,        /* the connection failed: nothing was sent */
  VRD_REASON_ENGINE_CRASHED, /* the engine crashed while it ran the request */
  VRD_REASON_COUNT
} vrd_reason_t;

/** vrd_name() - Return: "not_run", "may_have_run" or "ran" */
const char *vrd_name (vrd_t verdict);
/**
 * vrd_parse() - the verdict with this name
 *
 * Return: VRD_MAY_HAVE_RUN for an unknown name or NULL, so that nothing is executed twice
 */
vrd_t vrd_parse (const char *name);
/** vrd_reason_name() - Return: name of the reason in responses and logs */
const char *vrd_reason_name (vrd_reason_t reason);
/** vrd_reason_parse() - Return: the reason with this name, VRD_REASON_NONE if unknown or NULL */
vrd_reason_t vrd_reason_parse (const char *name);

#endif
