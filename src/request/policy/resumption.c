#include "request/policy/resumption.h"

static resumption_t
go (uint64_t version, const char *basis)
{
  return (resumption_t){ .step = RESUMPTION_GO, .version = version, .basis = basis };
}

/* Nobody knows the stream. Where all gateways have started lately, none can tell whether another
 * version had engines before; that is rare, and all clients come back then, so the version that is
 * there counts. */
static resumption_t
decide_unknown (const resumption_view_t *view)
{
  if (view->sole != 0 && view->is_current && !view->peer_has_watched)
    return go (view->sole, "sole_since_start");
  return (resumption_t){ .step = RESUMPTION_REFUSE, .basis = "unknown" };
}

/* Clients that don't name the attempt are older than the rule that they must; nobody can look their
 * streams up. */
static resumption_t
decide_unnamed (const resumption_view_t *view)
{
  if (view->sole != 0)
    return go (view->sole, "unnamed");
  return (resumption_t){ .step = RESUMPTION_REFUSE, .basis = "unnamed" };
}

resumption_t
resumption_decide (const resumption_view_t *view, uint64_t now_us)
{
  if (!view->is_named)
    return decide_unnamed (view);
  if (view->known != 0)
    return go (view->known, "known");
  if (view->sole != 0 && view->is_current && view->has_watched)
    return go (view->sole, "sole");
  if (view->peer_sole != 0 && view->peer_sole == view->sole)
    return go (view->peer_sole, "sole_by_peer");
  if (now_us >= view->started_us + RESUMPTION_TIMEOUT_US || (view->is_alone && view->is_current))
    return decide_unknown (view);
  if (view->asked_us == 0 || now_us >= view->asked_us + RESUMPTION_REPEAT_US)
    return (resumption_t){ .step = RESUMPTION_ASK };
  return (resumption_t){ .step = RESUMPTION_WAIT };
}
