#include "request/policy/streams/resumption.h"

static resumption_t
go (uint64_t version, const char *basis)
{
  return (resumption_t){ .step = RESUMPTION_GO, .version = version, .basis = basis };
}

static resumption_t
refuse (const char *basis)
{
  return (resumption_t){ .step = RESUMPTION_REFUSE, .basis = basis };
}

/* Streams begin without a table only while one version has ever served. */
static resumption_t
decide_by_tables (const resumption_view_t *view)
{
  if (!view->search.has_table)
    return view->sole != 0 && view->is_current && view->is_trusted ? go (view->sole, "sole")
                                                                   : refuse (view->search.basis);
  if (!view->is_trusted)
    return refuse ("not_current");
  return view->search.version != 0 ? go (view->search.version, view->search.basis)
                                   : refuse (view->search.basis);
}

/* Clients that don't name the attempt are older than the rule that they must; nobody can look their
 * streams up, so there is nothing to ask other gateways. What this process has seen of the versions
 * is no evidence: it may have started after the engines at which the stream began had left. */
static resumption_t
decide_unnamed (const resumption_view_t *view)
{
  resumption_t decision = decide_by_tables (view);

  decision.basis = "unnamed";
  if (decision.step == RESUMPTION_REFUSE && view->search.is_reading)
    decision.step = RESUMPTION_WAIT;
  return decision;
}

resumption_t
resumption_decide (const resumption_view_t *view, uint64_t now_us)
{
  resumption_t decision;

  if (!view->is_named)
    return decide_unnamed (view);
  if (view->known != 0)
    return go (view->known, "known");
  decision = decide_by_tables (view);
  if (decision.step == RESUMPTION_GO || now_us >= view->started_us + RESUMPTION_TIMEOUT_US ||
      (view->is_alone && !view->search.needs_lists))
    return decision;
  if (!view->is_alone && !view->search.is_reading &&
      (view->asked_us == 0 || now_us >= view->asked_us + RESUMPTION_REPEAT_US))
    return (resumption_t){ .step = RESUMPTION_ASK };
  return (resumption_t){ .step = RESUMPTION_WAIT };
}
