#include "admin_call.h"
#include "ctl.h"
#include "explain_logs.h"

#include <stdio.h>

static ctl_exit_t
find_address (ctl_t *ctl, const char *name, address_t *address)
{
  platform_outcome_t outcome;
  GArray *hosts;
  const membership_list_entry_t *host;
  ctl_exit_t code = CTL_OK;

  if ((ctl->options.given & CTL_OPTION_DAEMON) != 0)
    {
      *address = ctl->options.daemon;
      return CTL_OK;
    }
  if (ctl->platform == NULL)
    return ctl_report (CTL_USAGE, "drain needs --platform or --daemon");
  hosts = host_list_fetch (ctl, &outcome);
  host = host_list_find (hosts, name);
  if (outcome != PLATFORM_OK)
    code = ctl_report (CTL_UNREACHABLE, "the platform's list of hosts can't be had");
  else if (host == NULL)
    code = ctl_report (CTL_USAGE, "the platform lists no host \"%s\"", name);
  else
    *address = host->http;
  g_array_free (hosts, TRUE);
  return code;
}

/* The seal covers the host's name, so another host that the order reaches by mistake refuses it. */
static ctl_exit_t
send_drain_order (ctl_t *ctl, const char *host, const address_t *address)
{
  admin_call_t call = { .address = *address,
                        .method = "POST",
                        .path = "/medlarplank/drain",
                        .seal = ADMIN_CALL_SEAL_DRAIN };
  int status;

  g_strlcpy (call.name, host, sizeof call.name);
  admin_call_run_all (ctl, &call, 1);
  status = call.status;
  admin_call_clear_all (&call, 1);
  if (status == 0)
    return ctl_report (CTL_FAILED, "%s does not answer; it may have taken the order", host);
  if (status / 100 != 2)
    return ctl_report (CTL_FAILED, "%s refused the order with status %d", host, status);
  printf ("%s is leaving\n", host);
  return CTL_OK;
}

ctl_exit_t
cmd_drain (ctl_t *ctl, const char *host)
{
  address_t address;
  ctl_exit_t code;

  if (ctl->options.fleet_key == NULL)
    return ctl_report (CTL_USAGE, "drain needs MEDLARPLANK_FLEET_KEY");
  code = find_address (ctl, host, &address);
  return code == CTL_OK ? send_drain_order (ctl, host, &address) : code;
}

ctl_exit_t
cmd_explain (ctl_t *ctl, const char *request)
{
  g_autofree char *escaped = g_uri_escape_string (request, NULL, FALSE);
  g_autofree char *query = g_strconcat ("request=", escaped, NULL);
  admin_call_t call = { .address = ctl->options.daemon,
                        .method = "GET",
                        .path = "/medlarplank/explain",
                        .query = query,
                        .seal = ADMIN_CALL_SEAL_READ };
  ctl_exit_t code = CTL_OK;

  if ((ctl->options.given & CTL_OPTION_LOGS) != 0)
    return explain_logs_print (ctl, request, ctl->options.logs);
  if ((ctl->options.given & CTL_OPTION_DAEMON) == 0)
    return ctl_report (CTL_USAGE, "explain needs the router as --daemon, or --logs");
  if (!admin_call_fetch_name (ctl, &call))
    return ctl_report (CTL_FAILED, "the daemon does not answer");
  admin_call_run_all (ctl, &call, 1);
  if (call.status == 200)
    printf ("%s\n", call.body->str);
  else if (call.status == 404)
    code = ctl_report (CTL_FAILED, "the daemon does not know this request, or not any more");
  else
    code = ctl_report (CTL_FAILED, "the daemon answered with status %d", call.status);
  admin_call_clear_all (&call, 1);
  return code;
}
