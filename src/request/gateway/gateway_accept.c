/* Checks the headers, route and key of a client's request before any state is kept for it. */
#include "request/gateway/gateway_private.h"

#include "base/log.h"

static void
reject (gateway_task_t *gateway,
        http_server_call_t *client,
        const format_request_t *request,
        const error_reply_t *fault)
{
  log_event (LOG_LEVEL_NOTICE, "reject", "id", request->id, "status",
             LOG_U64 ((uint64_t)fault->status), "code", fault->code, "version",
             LOG_U64 (gateway->table ? routing_version (gateway->table) : 0), NULL);
  log_flush ();
  error_reply_send (client, fault);
}

/*
 * A gateway that was cut off or has just started may not have the newest version of the
 * configuration. An unknown route or key may be in that version, so it must answer 503 rather than
 * deny that the route or key exists.
 */
static void
reject_unknown (gateway_task_t *gateway,
                http_server_call_t *client,
                const format_request_t *request,
                int status,
                const char *code)
{
  bool is_current = gateway->config_current && gateway->table;

  counter_add (gateway->refused, 1);
  reject (gateway, client, request,
          &(error_reply_t){
              .status = is_current ? status : 503,
              .code = is_current ? code : "configuration_uncertain",
              .message = is_current ? "no such route, or no such key"
                                    : "this router does not know the newest configuration yet",
              .verdict = VERDICT_NOT_RUN,
              .retry_after_ms = is_current ? 0 : GATEWAY_RETRY_MIN_MS,
              .exact_retry = true });
}

/*
 * During a stop, one more request may come on a connection whose last response began before the
 * stop and so carried no "Connection: close". If it were accepted late, its response would be cut
 * off when the process ends, as a stream of four seconds was; any other gateway can serve it.
 */
static void
reject_while_stopping (gateway_task_t *gateway,
                       http_server_call_t *client,
                       const format_request_t *request)
{
  counter_add (gateway->refused, 1);
  reject (gateway, client, request,
          &(error_reply_t){ .status = 503,
                            .code = "stopping",
                            .message = "this router stops",
                            .verdict = VERDICT_NOT_RUN,
                            .retry_after_ms = GATEWAY_RETRY_MIN_MS,
                            .exact_retry = true });
}

static void
note_resumption (gateway_task_t *gateway, const format_request_t *request)
{
  counter_add (gateway->resumptions, 1);
  log_event (LOG_LEVEL_NOTICE, "resumption", "id", request->id, "resumed_id", request->resumed_id,
             "last_event", LOG_U64 (request->last_event), "deadline_ms",
             LOG_U64 (request->deadline_ms), NULL);
}

void
gateway_accept (http_server_call_t *client, void *context)
{
  gateway_task_t *gateway = context;
  const routing_route_t *route;
  const routing_account_t *account = NULL;
  format_request_t request;
  const char *problem =
      gateway->options.format->read_request (&request, http_server_request_headers (client));
  g_autofree format_prompt_part_t *parts = request.parts;
  gateway_call_t *call;

  if (problem)
    {
      reject (gateway, client, &request,
              &(error_reply_t){ .status = 400, .code = "bad_request", .message = problem });
      return;
    }
  if (gateway->stopping)
    {
      reject_while_stopping (gateway, client, &request);
      return;
    }
  gateway->options.update_current (gateway->options.context);
  route = gateway->table
              ? routing_find_route (gateway->table, http_server_request_header (client, "Host"),
                                    http_server_target (client))
              : NULL;
  if (!route)
    {
      reject_unknown (gateway, client, &request, 404, "unknown_route");
      return;
    }
  if (routing_needs_key (gateway->table, route))
    {
      account = request.key ? routing_find_account (gateway->table, request.key) : NULL;
      if (!account)
        {
          reject_unknown (gateway, client, &request, 401, "unknown_key");
          return;
        }
    }
  if (request.resumes)
    note_resumption (gateway, &request);
  call = gateway_call_new (gateway, client, route, account, &request);
  parts = NULL; /* the call has them */
  gateway_resume_start (call);
}
