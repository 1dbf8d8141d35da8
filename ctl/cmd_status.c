#include "admin_call.h"
#include "ctl.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static admin_call_t
make_status_call (const address_t *address, const char *name)
{
  admin_call_t call = { .address = *address, .method = "GET", .path = ADMIN_CALL_STATUS_PATH };

  g_strlcpy (call.name, name, sizeof call.name);
  return call;
}

static GArray *
new_calls (void)
{
  return g_array_new (FALSE, TRUE, sizeof (admin_call_t));
}

static GArray *
make_calls_for_hosts (const GArray *hosts)
{
  GArray *calls = new_calls ();

  for (guint i = 0; i < hosts->len; i++)
    {
      const membership_list_entry_t *host = &g_array_index (hosts, membership_list_entry_t, i);
      admin_call_t call = make_status_call (&host->http, host->name);

      if (host->state != MEMBERSHIP_GONE)
        g_array_append_val (calls, call);
    }
  return calls;
}

/* Return: the daemon's status; its name and an error when it did not answer */
static json_t *
parse_reply (const admin_call_t *call)
{
  json_t *json = call->status == 200 ? json_loads (call->body->str, 0, NULL) : NULL;

  if (json_is_object (json))
    return json;
  json_decref (json);
  return json_pack ("{ss ss}", "name", call->name, "error", "no answer");
}

static const char *
string_field (const json_t *answer, const char *key)
{
  const char *text = json_string_value (json_object_get (answer, key));

  return text != NULL ? text : "-";
}

static json_int_t
integer_field (const json_t *answer, const char *key)
{
  return json_integer_value (json_object_get (answer, key));
}

static const char *
state_text (const json_t *answer)
{
  return json_is_true (json_object_get (answer, "draining")) ? "leaving" : "live";
}

typedef struct
{
  char text[24];
} cell_t;

/* Formats a number, given in thousandths if @is_milli; "-" when the daemon's role does not report
 * it. */
static cell_t
format_cell (const json_t *answer, const char *key, bool is_milli)
{
  const json_t *number = json_object_get (answer, key);
  json_int_t value = json_integer_value (number);
  cell_t out = { "-" };

  if (number != NULL && is_milli)
    g_snprintf (out.text, sizeof out.text, "%.2f", (double)value / 1000);
  else if (number != NULL)
    g_snprintf (out.text, sizeof out.text, "%" JSON_INTEGER_FORMAT, value);
  return out;
}

static void
print_row (const json_t *answer)
{
  if (json_object_get (answer, "error") != NULL)
    {
      printf ("%-24s %s\n", string_field (answer, "name"), string_field (answer, "error"));
      return;
    }
  printf (
      "%-24s %-8s %-8s %-5s %8s %6s %8s %8s %8s %6s\n", string_field (answer, "name"),
      string_field (answer, "role"), state_text (answer),
      json_is_true (json_object_get (answer, "ready")) ? "yes" : "no",
      format_cell (answer, "version", false).text, format_cell (answer, "load", false).text,
      format_cell (answer, "waiting", false).text, format_cell (answer, "mean_milli", true).text,
      format_cell (answer, "bound_milli", true).text, format_cell (answer, "hosts", false).text);
}

/* Shows in one line whether the newest version is in force on all daemons. */
static void
print_newest_version (const json_t *answers)
{
  json_int_t newest = 0;
  size_t holders = 0;
  size_t index;
  json_t *answer;

  json_array_foreach (answers, index, answer)
    {
      newest = MAX (newest, integer_field (answer, "version"));
    }
  json_array_foreach (answers, index, answer)
    {
      holders += newest > 0 && integer_field (answer, "version") == newest;
    }
  printf ("version %" JSON_INTEGER_FORMAT " is in force on %zu of %zu daemons\n", newest, holders,
          json_array_size (answers));
}

static void
print_table (const json_t *answers)
{
  size_t index;
  json_t *answer;

  printf ("%-24s %-8s %-8s %-5s %8s %6s %8s %8s %8s %6s\n", "NAME", "ROLE", "STATE", "READY",
          "VERSION", "LOAD", "WAITING", "MEAN", "BOUND", "HOSTS");
  json_array_foreach (answers, index, answer)
    {
      print_row (answer);
    }
  print_newest_version (answers);
}

static ctl_exit_t
query_and_print (ctl_t *ctl, GArray *calls)
{
  admin_call_t *call_array = (admin_call_t *)(void *)calls->data;
  json_t *answers = json_array ();

  admin_call_run_all (ctl, call_array, calls->len);
  for (guint i = 0; i < calls->len; i++)
    json_array_append_new (answers, parse_reply (&call_array[i]));
  if ((ctl->options.given & CTL_OPTION_JSON) != 0)
    {
      char *text = json_dumps (answers, JSON_INDENT (2));

      puts (text);
      free (text);
    }
  else
    print_table (answers);
  json_decref (answers);
  admin_call_clear_all (call_array, calls->len);
  return CTL_OK;
}

static ctl_exit_t
make_calls (ctl_t *ctl, GArray **calls)
{
  platform_outcome_t outcome;
  GArray *hosts;

  if ((ctl->options.given & CTL_OPTION_DAEMON) != 0)
    {
      admin_call_t call = make_status_call (&ctl->options.daemon, ctl->options.daemon.ip);

      *calls = new_calls ();
      g_array_append_val (*calls, call);
      return CTL_OK;
    }
  if (ctl->platform == NULL)
    return ctl_report (CTL_USAGE, "status needs --platform or --daemon");
  hosts = host_list_fetch (ctl, &outcome);
  if (outcome == PLATFORM_OK)
    *calls = make_calls_for_hosts (hosts);
  g_array_free (hosts, TRUE);
  if (outcome != PLATFORM_OK)
    return ctl_report (CTL_UNREACHABLE,
                       "the platform's list of hosts can't be had; ask one with --daemon");
  return CTL_OK;
}

ctl_exit_t
cmd_status (ctl_t *ctl, const char *unused)
{
  GArray *calls = NULL;
  ctl_exit_t code = make_calls (ctl, &calls);

  (void)unused;
  if (code != CTL_OK)
    return code;
  code = query_and_print (ctl, calls);
  g_array_free (calls, TRUE);
  return code;
}
