#include "request/policy/verdict.h"

#include <string.h>

static const char *const verdict_names[] = {
  [VRD_NOT_RUN] = "not_run",
  [VRD_MAY_HAVE_RUN] = "may_have_run",
  [VRD_RAN] = "ran",
};

static const char *const reason_names[VRD_REASON_COUNT] = {
  [VRD_REASON_NONE] = "none",
  [VRD_REASON_OVER_BOUND] = "over_bound",
  [VRD_REASON_LEAVING] = "leaving",
  [VRD_REASON_ELSEWHERE] = "elsewhere",
  [VRD_REASON_COLD] = "cold",
  [VRD_REASON_STALE] = "stale",
  [VRD_REASON_SUSPECT_HERE] = "suspect_here",
  [VRD_REASON_QUARANTINE] = "quarantine",
  [VRD_REASON_NO_ENGINE] = "no_engine",
  [VRD_REASON_WRONG_SERVICE] = "wrong_service",
  [VRD_REASON_QUEUE_FULL] = "queue_full",
  [VRD_REASON_DEADLINE] = "deadline",
  [VRD_REASON_ACCOUNT_SHARE] = "account_share",
  [VRD_REASON_REVOKED] = "revoked",
  [VRD_REASON_SUSPECT] = "suspect",
  [VRD_REASON_CLAIMED] = "claimed",
  [VRD_REASON_KEY_REUSED] = "key_reused",
  [VRD_REASON_KEY_TOO_OLD] = "key_too_old",
  [VRD_REASON_LOG_DOWN] = "log_down",
  [VRD_REASON_CUT] = "cut",
  [VRD_REASON_CROSSED] = "crossed",
  [VRD_REASON_TIMEOUT] = "timeout",
  [VRD_REASON_CONNECT] = "connect",
  [VRD_REASON_ENGINE_CRASHED] = "engine_crashed",
};

const char *
vrd_name (vrd_t verdict)
{
  if (verdict > VRD_RAN)
    verdict = VRD_MAY_HAVE_RUN;
  return verdict_names[verdict];
}

vrd_t
vrd_parse (const char *name)
{
  if (name == NULL)
    return VRD_MAY_HAVE_RUN;
  for (vrd_t verdict = VRD_NOT_RUN; verdict <= VRD_RAN; verdict++)
    if (strcmp (name, verdict_names[verdict]) == 0)
      return verdict;
  return VRD_MAY_HAVE_RUN;
}

const char *
vrd_reason_name (vrd_reason_t reason)
{
  if (reason >= VRD_REASON_COUNT)
    reason = VRD_REASON_NONE;
  return reason_names[reason];
}

vrd_reason_t
vrd_reason_parse (const char *name)
{
  if (name == NULL)
    return VRD_REASON_NONE;
  for (vrd_reason_t reason = VRD_REASON_NONE; reason < VRD_REASON_COUNT; reason++)
    if (strcmp (name, reason_names[reason]) == 0)
      return reason;
  return VRD_REASON_NONE;
}
