/**
 * DOC: verdict
 *
 * Whether a request may have run. Every attempt ends in one, and every error that a caller sees
 * carries it, in the header %VRD_HEADER and in the body.
 */
#ifndef REQUEST_POLICY_VERDICT_H
#define REQUEST_POLICY_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#define VRD_HEADER "X-Medlarplank-Verdict"

typedef enum
{
  VRD_NOT_RUN,      /* certain: it ran on no engine and will not */
  VRD_MAY_HAVE_RUN, /* nobody can tell */
  VRD_RAN           /* an engine ran it */
} vrd_t;

/**
 * enum vrd_reason - why a request was refused or failed
 *
 * Those up to VRD_REASON_WRONG_SERVICE are answered by trying another engine.
 */
typedef enum
{
  VRD_REASON_NONE,
  VRD_REASON_OVER_BOUND,    /* the engine would carry more than its share */
  VRD_REASON_LEAVING,       /* the host is leaving */
  VRD_REASON_ELSEWHERE,     /* the chat's context is warm on the host named first */
  VRD_REASON_COLD,          /* its home took the chat to be warm here, and it is not */
  VRD_REASON_STALE,         /* the daemon has just woken and does not trust what it knows */
  VRD_REASON_SUSPECT_HERE,  /* this engine crashed on the request before */
  VRD_REASON_QUARANTINE,    /* another request that crashed an engine runs here */
  VRD_REASON_NO_ENGINE,     /* the engine beside the sidecar does not answer */
  VRD_REASON_WRONG_SERVICE, /* the engine does not serve this service in the version in force */
  VRD_REASON_QUEUE_FULL,    /* the client account's queue, or the whole, is full */
  VRD_REASON_DEADLINE,      /* it could not start before its deadline */
  VRD_REASON_ACCOUNT_SHARE, /* the client account is over its share */
  VRD_REASON_REVOKED,       /* the router gave this attempt up */
  VRD_REASON_SUSPECT,       /* final: it crashed as many engines as one request may */
  VRD_REASON_CLAIMED,       /* the same key is held by another attempt */
  VRD_REASON_KEY_REUSED,    /* the same key came with another body */
  VRD_REASON_KEY_TOO_OLD,   /* the key's horizon has passed */
  VRD_REASON_LOG_DOWN,      /* the claim cannot be made while the log is out */
  VRD_REASON_CUT,           /* the answer was cut off */
  VRD_REASON_CROSSED,       /* the answer was not this attempt's */
  VRD_REASON_TIMEOUT,
  VRD_REASON_CONNECT, /* no connection: nothing was sent */
  VRD_REASON_ENGINE_CRASHED,
  VRD_REASON_COUNT
} vrd_reason_t;

/** vrd_name() - "not_run", "may_have_run" or "ran" */
const char *vrd_name (vrd_t verdict);
/** vrd_parse() - the inverse; an unknown or missing word is VRD_MAY_HAVE_RUN, the safe reading */
vrd_t vrd_parse (const char *name);
const char *vrd_reason_name (vrd_reason_t reason);
vrd_reason_t vrd_reason_parse (const char *name);

#endif
