#include "driver.h"
#include "standin/keyed_store.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define UPSTREAM_EVENTS 5

driver_process_t *
driver_start_upstream (driver_t *driver, const driver_upstream_t *upstream)
{
  driver_process_t *process = driver_process_new (driver, DRIVER_UPSTREAM, upstream->name, NULL);
  const char *service = upstream->streams ? "pool" : "ledger";
  uint32_t events = upstream->events > 0 ? upstream->events : UPSTREAM_EVENTS;

  process->record_path = g_strdup_printf ("%s/%s.record", driver->dir, upstream->name);
  driver_process_add_flag (process, "--store=%s:%d", driver->platform->ip, DRIVER_PORT);
  driver_process_add_flag (process, "--service=%s",
                           upstream->service ? upstream->service : service);
  driver_process_add_flag (process, "--events=%u", upstream->streams ? events : 0);
  driver_process_add_flag (process, "--work-ms=%u", upstream->work_ms);
  if (upstream->token_us > 0)
    {
      driver_process_add_flag (process, "--token-us=%u", upstream->token_us);
      driver_process_add_flag (process, "--token-us-per-run=%u", upstream->token_us_per_run);
    }
  if (upstream->slots > 0)
    driver_process_add_flag (process, "--slots=%u", upstream->slots);
  if (upstream->backlog > 0)
    driver_process_add_flag (process, "--backlog=%u", upstream->backlog);
  if (upstream->drain_ms > 0)
    driver_process_add_flag (process, "--drain-ms=%u", upstream->drain_ms);
  if (upstream->crash_on)
    driver_process_add_flag (process, "--crash-on=%s", upstream->crash_on);
  for (const char *const *part = upstream->crash_parts; part && *part; part++)
    driver_process_add_flag (process, "--crash-on-part=%s", *part);
  if (upstream->software_version)
    driver_process_add_flag (process, "--software-version=%s", upstream->software_version);
  driver_process_add_flag (process, "--record=%s", process->record_path);
  driver_process_start (process);
  return process;
}

driver_process_t *
driver_start_gateway_through (driver_t *driver,
                              const char *name,
                              const char *store_ip,
                              uint32_t exchange_interval_ms,
                              uint32_t control_budget_bytes)
{
  driver_process_t *process = driver_process_new (driver, DRIVER_GATEWAY, name, NULL);

  driver_process_add_flag (process, "--role=gateway");
  driver_process_add_flag (process, "--stream-backups=true");
  driver_process_add_flag (process, "--renewal-ms=%u", KEYED_STORE_ENTRY_TTL_MS / 3);
  driver_process_add_flag (process, "--name=%s", name);
  driver_process_add_flag (process, "--data-center=hall-bayangol");
  driver_process_add_flag (process, "--region=ulaanbaatar");
  driver_process_add_flag (process, "--ready-listen=%s:%d", process->ip, DRIVER_PORT + 1);
  driver_process_add_flag (process, "--control-listen=%s:%d", process->ip, DRIVER_PORT + 2);
  driver_process_add_flag (process, "--exchange=%s:%d", process->ip, DRIVER_PORT + 3);
  driver_process_add_flag (process, "--platform=%s:%d", store_ip, DRIVER_PORT);
  driver_process_add_flag (process, "--exchange-interval-ms=%u", exchange_interval_ms);
  driver_process_add_flag (process, "--control-budget-bytes=%u", control_budget_bytes);
  driver_process_add_flag (process, "--retry-slack=1000");
  driver_process_start (process);
  return process;
}

driver_process_t *
driver_start_gateway (driver_t *driver,
                      const char *name,
                      uint32_t exchange_interval_ms,
                      uint32_t control_budget_bytes)
{
  return driver_start_gateway_through (driver, name, driver->platform->ip, exchange_interval_ms,
                                       control_budget_bytes);
}

void
driver_write_record (driver_t *driver, const char *key, const char *value)
{
  size_t length = 1 + strlen (key) + strlen (value);
  GString *body = g_string_new (NULL);
  driver_call_t *call;

  /* length of the record in four bytes, length of the key in one, key, value */
  for (int shift = 24; shift >= 0; shift -= 8)
    g_string_append_c (body, (char)(length >> shift));
  g_string_append_c (body, (char)strlen (key));
  g_string_append_printf (body, "%s%s", key, value);
  call = driver_send_http_bytes (driver, driver->platform->ip, "POST",
                                 "/log-append?topic=keyed.op&part=0", "", body->str, body->len);
  driver_call_wait (call);
  CU_ASSERT_EQUAL (call->status, 200);
  g_string_free (body, TRUE);
}
