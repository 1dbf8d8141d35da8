#include "reference_store.h"

#include "platform/records.h"
#include "request/policy/placement/engine_choice.h"

#include <CUnit/Basic.h>
#include <string.h>

#define SERVICE "s"

char *
reference_format_entry (uint32_t port)
{
  return g_strdup_printf (
      "{\"service\":\"" SERVICE "\",\"addr\":\"10.0.0.9:%u\",\"zone\":\"hall\","
      "\"version\":\"\",\"cold_left_ms\":0,\"seq\":1,\"slots\":8,\"state\":\"ready\"}",
      port);
}

void
reference_apply_entry (
    engines_t *engines, uint64_t now_us, const char *key, const char *value, size_t value_bytes)
{
  engine_entry_t entry;

  if (!value)
    {
      engines_remove (engines, now_us, key);
      return;
    }
  CU_ASSERT_TRUE_FATAL (records_read_engine (&entry, key, value, value_bytes, NULL));
  engines_put (engines, now_us, &entry);
}

bool
reference_gets_requests (const engines_t *engines, uint64_t now_us, const char *id)
{
  const GPtrArray *candidates = engines_of_service (engines, g_intern_string (SERVICE));
  uint64_t tried[16];
  engine_choice_request_t request = {
    .own_data_center = "hall", .tried = tried, .repeatable = true, .gateways = 1
  };

  while (candidates && request.tried_count < G_N_ELEMENTS (tried))
    {
      engine_choice_t choice = engine_choice_make (candidates, now_us, &request);

      if (choice.action != ENGINE_CHOICE_SEND)
        return false;
      if (strcmp (choice.engine->entry.id, id) == 0)
        return true;
      tried[request.tried_count++] = choice.engine->hash;
    }
  return false;
}

void
reference_run_timers (struct event_base *base)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_loop (base, EVLOOP_NONBLOCK);
}

void
reference_item_free (gpointer data)
{
  reference_item_t *item = data;

  g_free (item->value);
  g_free (item);
}

void
reference_put (GPtrArray *store, const char *key, const char *value)
{
  reference_item_t *item = g_new0 (reference_item_t, 1);

  g_strlcpy (item->key, key, sizeof item->key);
  item->value = g_strdup (value);
  g_ptr_array_add (store, item);
}

int64_t
reference_newest (const GPtrArray *store, const char *key, uint64_t end)
{
  for (uint64_t offset = end; offset > 0; offset--)
    if (strcmp (((const reference_item_t *)g_ptr_array_index (store, offset - 1))->key, key) == 0)
      return (int64_t)offset - 1;
  return -1;
}

static platform_record_t
get_record (const GPtrArray *store, uint64_t offset)
{
  const reference_item_t *item = g_ptr_array_index (store, offset);

  return (platform_record_t){ .position.offset = offset,
                              .key = item->key,
                              .data = item->value,
                              .data_bytes = item->value ? strlen (item->value) : 0 };
}

static gint
compare_record_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (((const platform_record_t *)a)->key, ((const platform_record_t *)b)->key);
}

void
reference_answer (const GPtrArray *store, const reference_call_t *call, uint64_t end, uint32_t page)
{
  g_autoptr (GArray) records = g_array_new (FALSE, TRUE, sizeof (platform_record_t));

  for (uint64_t offset = call->read_done ? call->from : 0; offset < end; offset++)
    {
      platform_record_t record = get_record (store, offset);

      if (call->read_done ||
          (record.data && reference_newest (store, record.key, end) == (int64_t)offset &&
           strcmp (record.key, call->after) > 0))
        g_array_append_val (records, record);
    }
  if (call->read_done)
    {
      uint32_t count = MIN (records->len, page);

      call->read_done (
          &(platform_read_t){ .outcome = PLATFORM_OK,
                              .next.offset = call->from + count,
                              .end.offset = end,
                              .records = (const platform_record_t *)(const void *)records->data,
                              .record_count = count },
          call->context);
      return;
    }
  g_array_sort (records, compare_record_keys);
  call->newest_done (
      &(platform_newest_t){ .outcome = PLATFORM_OK,
                            .end.offset = end,
                            .records = (const platform_record_t *)(const void *)records->data,
                            .record_count = MIN (records->len, page),
                            .more = records->len > page },
      call->context);
}
