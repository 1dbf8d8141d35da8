#include "engine_record.h"

#include <glib.h>
#include <inttypes.h>
#include <unistd.h>

#define FIELD_LIMIT_BYTES 128

typedef struct
{
  char *id;
  char *account;
  char *key;
  uint64_t body_hash;
  erc_state_t state;
} erc_entry_t;

struct erc
{
  int file_fd;
  erc_entry_t *entries; /* a ring: run N is at N % ERC_LIMIT_RUNS */
  uint64_t next_serial;
};

static const char *const state_names[] = { "begun", "done", "cancelled" };

static char *
field_copy (const char *text)
{
  return text == NULL ? NULL : g_strndup (text, FIELD_LIMIT_BYTES);
}

static void
entry_clear (erc_entry_t *entry)
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
entry_json (const erc_entry_t *entry)
{
  char body_hash[17];
  g_snprintf (body_hash, sizeof body_hash, "%016" PRIx64, entry->body_hash);
  return json_pack ("{s:o, s:o, s:o, s:s, s:s}", "id", text_or_null (entry->id), "account",
                    text_or_null (entry->account), "key", text_or_null (entry->key), "body_hash",
                    body_hash, "state", state_names[entry->state]);
}

/* One write for the line, so that a crash right after it cannot leave half of it. */
static void
append_line (const erc_t *erc, const erc_entry_t *entry)
{
  if (erc->file_fd < 0)
    return;
  json_t *json = entry_json (entry);
  char *text = json_dumps (json, JSON_COMPACT);
  g_autofree char *line = g_strconcat (text, "\n", NULL);
  if (write (erc->file_fd, line, strlen (line)) < 0)
    g_printerr ("record file: %s\n", g_strerror (errno));
  free (text);
  json_decref (json);
}

erc_t *
erc_new (int file_fd)
{
  erc_t *erc = g_new0 (erc_t, 1);
  erc->file_fd = file_fd;
  erc->entries = g_new0 (erc_entry_t, ERC_LIMIT_RUNS);
  return erc;
}

void
erc_free (erc_t *erc)
{
  if (erc == NULL)
    return;
  for (size_t i = 0; i < ERC_LIMIT_RUNS; i++)
    entry_clear (&erc->entries[i]);
  g_free (erc->entries);
  g_free (erc);
}

uint64_t
erc_begin (erc_t *erc, const erc_run_t *run)
{
  uint64_t serial = erc->next_serial++;
  erc_entry_t *entry = &erc->entries[serial % ERC_LIMIT_RUNS];
  entry_clear (entry);
  entry->id = field_copy (run->id);
  entry->account = field_copy (run->account);
  entry->key = field_copy (run->key);
  entry->body_hash = run->body_hash;
  entry->state = ERC_BEGUN;
  append_line (erc, entry);
  return serial;
}

void
erc_end (erc_t *erc, uint64_t serial, erc_state_t state)
{
  if (erc->next_serial - serial > ERC_LIMIT_RUNS)
    return;
  erc_entry_t *entry = &erc->entries[serial % ERC_LIMIT_RUNS];
  entry->state = state;
  append_line (erc, entry);
}

json_t *
erc_list (const erc_t *erc)
{
  json_t *list = json_array ();
  uint64_t held = MIN (erc->next_serial, ERC_LIMIT_RUNS);
  for (uint64_t serial = erc->next_serial - held; serial < erc->next_serial; serial++)
    json_array_append_new (list, entry_json (&erc->entries[serial % ERC_LIMIT_RUNS]));
  return list;
}
