#include "request/policy/retries/verdict.h"

#include <string.h>

#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_MISDIRECTED_REQUEST 421
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_SERVICE_UNAVAILABLE 503

static const char *const verdict_names[] = {
  [VERDICT_NOT_RUN] = "not_run",
  [VERDICT_MAY_HAVE_RUN] = "may_have_run",
  [VERDICT_RAN] = "ran",
};

static const char *const reason_names[VERDICT_REASON_COUNT] = {
  [VERDICT_REASON_NONE] = "none",
  [VERDICT_REASON_OVER_BOUND] = "over_bound",
  [VERDICT_REASON_LEAVING] = "leaving",
  [VERDICT_REASON_ELSEWHERE] = "elsewhere",
  [VERDICT_REASON_COLD] = "cold",
  [VERDICT_REASON_STALE] = "stale",
  [VERDICT_REASON_SUSPECT_HERE] = "suspect_here",
  [VERDICT_REASON_QUARANTINE] = "quarantine",
  [VERDICT_REASON_NO_ENGINE] = "no_engine",
  [VERDICT_REASON_WRONG_SERVICE] = "wrong_service",
  [VERDICT_REASON_QUEUE_FULL] = "queue_full",
  [VERDICT_REASON_DEADLINE] = "deadline",
  [VERDICT_REASON_ACCOUNT_SHARE] = "account_share",
  [VERDICT_REASON_REVOKED] = "revoked",
  [VERDICT_REASON_SUSPECT] = "suspect",
  [VERDICT_REASON_CLAIMED] = "claimed",
  [VERDICT_REASON_KEY_REUSED] = "key_reused",
  [VERDICT_REASON_KEY_TOO_OLD] = "key_too_old",
  [VERDICT_REASON_LOG_DOWN] = "log_down",
  [VERDICT_REASON_CUT] = "cut",
  [VERDICT_REASON_CROSSED] = "crossed",
  [VERDICT_REASON_TIMEOUT] = "timeout",
  [VERDICT_REASON_CONNECT] = "connect",
  [VERDICT_REASON_ENGINE_CRASHED] = "engine_crashed",
  [VERDICT_REASON_VERSION_UNKNOWN] = "version_unknown",
  [VERDICT_REASON_VERSION_GONE] = "version_gone",
  [VERDICT_REASON_BAD_EVENT] = "bad_event",
  [VERDICT_REASON_FAILED] = "failed",
};

const char *
verdict_to_string (verdict_t verdict)
{
  if (verdict > VERDICT_RAN)
    verdict = VERDICT_MAY_HAVE_RUN;
  return verdict_names[verdict];
}

verdict_t
verdict_from_string (const char *name)
{
  if (name == NULL)
    return VERDICT_MAY_HAVE_RUN;
  for (verdict_t verdict = VERDICT_NOT_RUN; verdict <= VERDICT_RAN; verdict++)
    if (strcmp (name, verdict_names[verdict]) == 0)
      return verdict;
  return VERDICT_MAY_HAVE_RUN;
}

bool
verdict_is_promised_by_status (int status)
{
  switch (status)
    {
    case STATUS_REQUEST_TIMEOUT:
    case STATUS_MISDIRECTED_REQUEST:
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_SERVICE_UNAVAILABLE:
      return true;
    default:
      return false;
    }
}

const char *
verdict_reason_to_string (verdict_reason_t reason)
{
  if (reason >= VERDICT_REASON_COUNT)
    reason = VERDICT_REASON_NONE;
  return reason_names[reason];
}

verdict_reason_t
verdict_reason_from_string (const char *name)
{
  if (name == NULL)
    return VERDICT_REASON_NONE;
  for (verdict_reason_t reason = VERDICT_REASON_NONE; reason < VERDICT_REASON_COUNT; reason++)
    if (strcmp (name, reason_names[reason]) == 0)
      return reason;
  return VERDICT_REASON_NONE;
}
