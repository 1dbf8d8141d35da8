/* Judges a caller's request before anything is kept of it: route, key, form. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static void
reject (gwy_t *gwy, hsv_call_t *in, const fmt_request_t *request, const flt_t *fault)
{
  log_event (LOG_LEVEL_NOTICE, "reject", "id", request->id, "status",
             LOG_U64 ((uint64_t)fault->status), "code", fault->code, "version",
             LOG_U64 (gwy->table ? rte_version (gwy->table) : 0), NULL);
  log_flush ();
  flt_reply (in, fault);
}

/*
 * A router that was cut off or has just started may lack the newest version. What it does not know
 * may be a route or key of that version, so it must not say that there is none.
 */
static void
reject_unknown (
    gwy_t *gwy, hsv_call_t *in, const fmt_request_t *request, int status, const char *code)
{
  bool certain = gwy->certain && gwy->table;

  cnt_add (gwy->refused, 1);
  reject (gwy, in, request,
          &(flt_t){ .status = certain ? status : 503,
                    .code = certain ? code : "configuration_uncertain",
                    .message = certain ? "no such route, or no such key"
                                       : "this router does not know the newest configuration yet",
                    .verdict = VRD_NOT_RUN,
                    .retry_after_ms = certain ? 0 : GWY_RETRY_MIN_MS,
                    .exact_retry = true });
}

static bool
is_known_to_crash (const gwy_call_t *call)
{
  gwy_t *gwy = call->gwy;

  return sus_count (gwy->suspects) > 0 &&
         sus_check (gwy->suspects, gwy_now_us (gwy), gwy_call_fingerprint (call), 0) == SUS_FINAL;
}

/* Without Retry-After: wherever it ran, it would crash one more engine with all that runs there. */
static void
reject_suspect (gwy_call_t *call)
{
  cnt_add (call->gwy->refused, 1);
  gwy_call_log_failure (call, "refuse", "final", VRD_REASON_SUSPECT);
  flt_reply (call->in, &(flt_t){ .reason = VRD_REASON_SUSPECT, .verdict = VRD_NOT_RUN });
  gwy_call_free (call);
}

/*
 * On a connection whose last answer began before the stop, and so did not say that it closes, one
 * more request may come when most of the time to stop is over. It would be cut at its end: a stream
 * that took four seconds was. Any other gateway has the time.
 */
static void
reject_late (gwy_t *gwy, hsv_call_t *in, const fmt_request_t *request)
{
  cnt_add (gwy->refused, 1);
  reject (gwy, in, request,
          &(flt_t){ .status = 503,
                    .code = "stopping",
                    .message = "this router stops",
                    .verdict = VRD_NOT_RUN,
                    .retry_after_ms = GWY_RETRY_MIN_MS,
                    .exact_retry = true });
}

void
gwy_accept (hsv_call_t *in, void *context)
{
  gwy_t *gwy = context;
  const rte_route_t *route;
  const rte_account_t *account = NULL;
  fmt_request_t request;
  const char *wrong = gwy->options.format->read (&request, hsv_headers (in));
  gwy_call_t *call;

  if (wrong)
    {
      reject (gwy, in, &request,
              &(flt_t){ .status = 400, .code = "bad_request", .message = wrong });
      return;
    }
  if (gwy->stopping)
    {
      reject_late (gwy, in, &request);
      return;
    }
  route = gwy->table ? rte_find (gwy->table, hsv_header (in, "Host"), hsv_target (in)) : NULL;
  if (!route)
    {
      reject_unknown (gwy, in, &request, 404, "unknown_route");
      return;
    }
  if (rte_needs_key (gwy->table, route))
    {
      account = request.key ? rte_account (gwy->table, request.key) : NULL;
      if (!account)
        {
          reject_unknown (gwy, in, &request, 401, "unknown_key");
          return;
        }
    }
  call = gwy_call_new (gwy, in, route, account, &request);
  if (is_known_to_crash (call))
    reject_suspect (call);
  else
    gwy_call_place (call);
}
