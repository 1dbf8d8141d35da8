/**
 * DOC: verdict
 *
 * States whether an engine may have executed a request. Every attempt ends with a verdict, and
 * every error response to a client carries it in the header %VERDICT_HEADER and in the body.
 */
#ifndef REQUEST_POLICY_RETRIES_VERDICT_H
#define REQUEST_POLICY_RETRIES_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#define VERDICT_HEADER "X-Medlarplank-Verdict"

typedef enum
{
  VERDICT_NOT_RUN,      /* no engine has executed the request, and none will */
  VERDICT_MAY_HAVE_RUN, /* unknown: an engine may have executed the request */
  VERDICT_RAN           /* an engine executed the request */
} verdict_t;

/**
 * enum verdict_reason - why a request was rejected or failed
 *
 * After a reason up to VERDICT_REASON_WRONG_SERVICE the router tries another engine.
 */
typedef enum
{
  VERDICT_REASON_NONE,
  VERDICT_REASON_OVER_BOUND, /* the request would raise the engine's load above its bound */
  VERDICT_REASON_LEAVING,    /* the host is shutting down */
  VERDICT_REASON_ELSEWHERE,  /* the first referral has the chat's context in its cache */
  VERDICT_REASON_COLD,  /* the home engine referred the chat here, but its context isn't cached */
  VERDICT_REASON_STALE, /* the daemon resumed after a pause; its cluster state is out of date */
  VERDICT_REASON_SUSPECT_HERE,    /* this engine crashed earlier while it ran the request */
  VERDICT_REASON_QUARANTINE,      /* another request that crashed an engine runs here */
  VERDICT_REASON_NO_ENGINE,       /* the engine beside the sidecar does not answer */
  VERDICT_REASON_WRONG_SERVICE,   /* the manifest in force doesn't assign this service to the engine
                                   */
  VERDICT_REASON_QUEUE_FULL,      /* the queue has reached its limit */
  VERDICT_REASON_DEADLINE,        /* the request can't start before its deadline */
  VERDICT_REASON_ACCOUNT_SHARE,   /* the client account's part of the queue is full */
  VERDICT_REASON_REVOKED,         /* the router cancelled this attempt */
  VERDICT_REASON_SUSPECT,         /* final: it crashed the maximum of engines for one request */
  VERDICT_REASON_CLAIMED,         /* another attempt holds the same idempotency key */
  VERDICT_REASON_KEY_REUSED,      /* the idempotency key was used before with another body */
  VERDICT_REASON_KEY_TOO_OLD,     /* the idempotency key is older than claims are kept */
  VERDICT_REASON_LOG_DOWN,        /* the key can't be claimed while the log is unavailable */
  VERDICT_REASON_CUT,             /* the connection broke before the response was complete */
  VERDICT_REASON_CROSSED,         /* the response belongs to another attempt */
  VERDICT_REASON_TIMEOUT,         /* a time limit expired */
  VERDICT_REASON_CONNECT,         /* the connection failed: nothing was sent */
  VERDICT_REASON_ENGINE_CRASHED,  /* the engine crashed while it ran the request */
  VERDICT_REASON_VERSION_UNKNOWN, /* nobody knows at which software version the stream began */
  VERDICT_REASON_VERSION_GONE,    /* no engine of the version that began the stream is left */
  VERDICT_REASON_BAD_EVENT,       /* the engine sent bytes that are no next event of its stream */
  VERDICT_REASON_FAILED,          /* the engine failed the request and may have executed it */
  VERDICT_REASON_COUNT
} verdict_reason_t;

/** verdict_to_string() - Return: "not_run", "may_have_run" or "ran" */
const char *verdict_to_string (verdict_t verdict);
/**
 * verdict_from_string() - the verdict with this name
 *
 * Return: VERDICT_MAY_HAVE_RUN for an unknown name or NULL, so that nothing is executed twice
 */
verdict_t verdict_from_string (const char *name);
/** verdict_is_promised_by_status() - whether clients take @status, a HTTP status, as the promise of
 * VERDICT_NOT_RUN */
bool verdict_is_promised_by_status (int status);
/** verdict_reason_to_string() - Return: name of the reason in responses and logs */
const char *verdict_reason_to_string (verdict_reason_t reason);
/** verdict_reason_from_string() - Return: the reason with this name, VERDICT_REASON_NONE if unknown
 * or NULL */
verdict_reason_t verdict_reason_from_string (const char *name);

#endif
