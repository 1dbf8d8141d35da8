#include "run_record.h"

#include <glib.h>
#include <inttypes.h>
#include <unistd.h>

#define MAX_FIELD_BYTES 128

typedef struct
{
  char *id;
  char *account;
  char *key;
  uint64_t body_hash;
  run_record_state_t state;
} entry_t;

struct run_record
{
  int file_fd;
  entry_t *entries; /* ring buffer; run N is at N % RUN_RECORD_CAPACITY */
  uint64_t next_serial;
};

static const char *const state_names[] = { "begun", "done", "cancelled" };

static char *
copy_field (const char *text)
{
  return text == NULL ? NULL : g_strndup (text, MAX_FIELD_BYTES);
}

static void
clear_entry (entry_t *entry)
{
  g_free (entry->id);
  g_free (entry->account);
  g_free (entry->key);
}

static json_t *
text_or_null (const char *text)
{
  json_t *value = text == NULL ? NULL : json_string (text);
  return value == NULL ? json_null () : value;
}

static json_t *
entry_json (const entry_t *entry)
{
  char body_hash[17];
  g_snprintf (body_hash, sizeof body_hash, "%016" PRIx64, entry->body_hash);
  return json_pack ("{s:o, s:o, s:o, s:s, s:s}", "id", text_or_null (entry->id), "account",
                    text_or_null (entry->account), "key", text_or_null (entry->key), "body_hash",
                    body_hash, "state", state_names[entry->state]);
}

/* Writes the line with a single write(), so that a crash cannot leave a partial line. */
static void
write_line (const run_record_t *run_record, const entry_t *entry)
{
  if (run_record->file_fd < 0)
    return;
  json_t *json = entry_json (entry);
  char *text = json_dumps (json, JSON_COMPACT);
  g_autofree char *line = g_strconcat (text, "\n", NULL);
  if (write (run_record->file_fd, line, strlen (line)) < 0)
    g_printerr ("cannot write to the record file: %s\n", g_strerror (errno));
  free (text);
  json_decref (json);
}

run_record_t *
run_record_new (int file_fd)
{
  run_record_t *run_record = g_new0 (run_record_t, 1);
  run_record->file_fd = file_fd;
  run_record->entries = g_new0 (entry_t, RUN_RECORD_CAPACITY);
  return run_record;
}

void
run_record_free (run_record_t *run_record)
{
  if (run_record == NULL)
    return;
  for (size_t i = 0; i < RUN_RECORD_CAPACITY; i++)
    clear_entry (&run_record->entries[i]);
  g_free (run_record->entries);
  g_free (run_record);
}

uint64_t
run_record_begin (run_record_t *run_record, const run_record_run_t *run)
{
  uint64_t serial = run_record->next_serial++;
  entry_t *entry = &run_record->entries[serial % RUN_RECORD_CAPACITY];
  clear_entry (entry);
  entry->id = copy_field (run->id);
  entry->account = copy_field (run->account);
  entry->key = copy_field (run->key);
  entry->body_hash = run->body_hash;
  entry->state = RUN_RECORD_BEGUN;
  write_line (run_record, entry);
  return serial;
}

void
run_record_end (run_record_t *run_record, uint64_t serial, run_record_state_t state)
{
  if (run_record->next_serial - serial > RUN_RECORD_CAPACITY)
    return;
  entry_t *entry = &run_record->entries[serial % RUN_RECORD_CAPACITY];
  entry->state = state;
  write_line (run_record, entry);
}

json_t *
run_record_to_json (const run_record_t *run_record)
{
  json_t *list = json_array ();
  uint64_t retained_count = MIN (run_record->next_serial, RUN_RECORD_CAPACITY);
  for (uint64_t serial = run_record->next_serial - retained_count; serial < run_record->next_serial;
       serial++)
    json_array_append_new (list, entry_json (&run_record->entries[serial % RUN_RECORD_CAPACITY]));
  return list;
}
