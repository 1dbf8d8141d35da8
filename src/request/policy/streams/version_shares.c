#include "request/policy/streams/version_shares.h"

#include "base/digits.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MILLI 1000
#define HEX_BYTES (DIGITS_HEX_BYTES + 1)
#define EPOCH_MAX (INT64_C (1) << 48)
/* A gateway that knows no table takes no higher number, so that there are some for the next ones.
 */
#define FIRST_EPOCH_MAX (EPOCH_MAX / 2)
#define UNIT_BITS 53 /* of the mantissa of a double */
/* Tables of an era have higher numbers than those of the eras before, forgotten ones too. */
#define ERA_SHIFT 24
#define ERA_MAX (INT64_C (1) << (48 - ERA_SHIFT))

static int
compare_weights (const void *a, const void *b)
{
  const version_share_t *left = a;
  const version_share_t *right = b;

  if (left->weight != right->weight)
    return left->weight < right->weight ? 1 : -1;
  return left->version < right->version ? 1 : -1;
}

static int
compare_versions (const void *a, const void *b)
{
  const version_share_t *left = a;
  const version_share_t *right = b;

  return (left->version > right->version) - (left->version < right->version);
}

version_table_t
version_table_make (const version_share_t *shares, uint32_t count)
{
  g_autofree version_share_t *sorted = g_memdup2 (shares, count * sizeof *shares);
  version_table_t table = { 0 };

  if (count == 0)
    return table;
  qsort (sorted, count, sizeof *sorted, compare_weights);
  while (table.count < MIN (count, VERSION_SHARES_MAX) && sorted[table.count].weight > 0)
    {
      table.shares[table.count] = sorted[table.count];
      table.count++;
    }
  qsort (table.shares, table.count, sizeof table.shares[0], compare_versions);
  return table;
}

/* Return: a value above 0 and up to 1 */
static double
unit_hash (uint64_t version, uint64_t stream)
{
  uint64_t hash = XXH64 (&version, sizeof version, stream);

  return (double)((hash >> (64 - UNIT_BITS)) + 1) / (double)(UINT64_C (1) << UNIT_BITS);
}

uint64_t
version_table_choose (const version_table_t *table, uint64_t stream)
{
  double best = 0;
  uint64_t version = 0;

  for (uint32_t i = 0; i < table->count; i++)
    {
      const version_share_t *share = &table->shares[i];
      double distance = -log (unit_hash (share->version, stream)) / share->weight;

      if (version != 0 && distance >= best)
        continue;
      best = distance;
      version = share->version;
    }
  return version;
}

const version_table_t *
version_history_get (const version_history_t *history, uint64_t epoch)
{
  for (uint32_t i = 0; i < history->count; i++)
    if (history->tables[i].epoch == epoch)
      return &history->tables[i];
  return NULL;
}

bool
version_history_has (const version_history_t *history, uint64_t version)
{
  for (uint32_t i = 0; i < history->count; i++)
    for (uint32_t j = 0; j < history->tables[i].count; j++)
      if (history->tables[i].shares[j].version == version)
        return true;
  return false;
}

uint64_t
version_history_find (const version_history_t *history, uint64_t floor, uint64_t stream)
{
  uint64_t found = 0;

  if (history->gap >= VERSION_GAP_TABLES || (history->gap == VERSION_GAP_LISTS && floor > 0))
    return 0;
  for (uint32_t i = 0; i < history->count; i++)
    {
      uint64_t version;

      if (history->tables[i].epoch < floor)
        continue;
      version = version_table_choose (&history->tables[i], stream);
      if (version == 0 || (found != 0 && version != found))
        return 0;
      found = version;
    }
  return found;
}

uint64_t
version_history_sole (const version_history_t *history)
{
  uint64_t sole = 0;

  if (history->gap >= VERSION_GAP_TABLES)
    return 0;
  for (uint32_t i = 0; i < history->count; i++)
    for (uint32_t j = 0; j < history->tables[i].count; j++)
      {
        uint64_t version = history->tables[i].shares[j].version;

        if (sole != 0 && version != sole)
          return 0;
        sole = version;
      }
  return sole;
}

static json_t *
make_table_json (const version_table_t *table)
{
  json_t *shares = json_object ();

  for (uint32_t i = 0; i < table->count; i++)
    {
      char text[HEX_BYTES];

      *digits_write_hex (text, table->shares[i].version) = '\0';
      json_object_set_new (shares, text, json_integer (table->shares[i].weight));
    }
  return json_pack ("{s:I, s:o}", "epoch", (json_int_t)table->epoch, "shares", shares);
}

char *
version_history_format (const version_history_t *history)
{
  json_t *tables = json_array ();
  json_t *root;
  char *text;

  for (uint32_t i = 0; i < history->count; i++)
    json_array_append_new (tables, make_table_json (&history->tables[i]));
  root = json_pack ("{s:I, s:o}", "in_force", (json_int_t)history->in_force, "tables", tables);
  if (history->era > 0)
    json_object_set_new (root, "era", json_integer ((json_int_t)history->era));
  if (history->gap != VERSION_GAP_NONE)
    json_object_set_new (root, "gap", json_integer (history->gap));
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (root);
  return text;
}

static bool
parse_share (const char *key, const json_t *value, version_share_t *out)
{
  json_int_t weight = json_integer_value (value);

  out->weight = (uint32_t)weight;
  return strlen (key) == DIGITS_HEX_BYTES && digits_parse_hex (key, &out->version) &&
         out->version != 0 && json_is_integer (value) && weight > 0 && weight <= UINT32_MAX;
}

static bool
parse_table (json_t *json, version_table_t *out)
{
  json_t *shares = json_object_get (json, "shares");
  json_int_t epoch = json_integer_value (json_object_get (json, "epoch"));
  const char *key;
  json_t *value;

  if (!json_is_object (shares) || epoch <= 0 || epoch > EPOCH_MAX ||
      json_object_size (shares) > VERSION_SHARES_MAX)
    return false;
  *out = (version_table_t){ .epoch = (uint64_t)epoch };
  json_object_foreach (shares, key, value)
    if (!parse_share (key, value, &out->shares[out->count++]))
      return false;
  qsort (out->shares, out->count, sizeof out->shares[0], compare_versions);
  return out->count > 0;
}

static bool
parse_history (const json_t *root, version_history_t *out)
{
  const json_t *tables = json_object_get (root, "tables");
  json_int_t in_force = json_integer_value (json_object_get (root, "in_force"));
  json_int_t era = json_integer_value (json_object_get (root, "era"));
  json_int_t gap = json_integer_value (json_object_get (root, "gap"));
  size_t count = json_array_size (tables);

  if (in_force <= 0 || count == 0 || count > VERSION_TABLES_MAX || era < 0 || era >= ERA_MAX ||
      gap < VERSION_GAP_NONE || gap > VERSION_GAP_ANNOUNCED)
    return false;
  *out = (version_history_t){ .in_force = (uint64_t)in_force,
                              .era = (uint64_t)era,
                              .gap = (version_gap_t)gap };
  for (; out->count < count; out->count++)
    {
      version_table_t *table = &out->tables[out->count];

      if (!parse_table (json_array_get (tables, out->count), table) ||
          (out->count > 0 && table->epoch <= out->tables[out->count - 1].epoch))
        return false;
    }
  return version_history_get (out, out->in_force) != NULL;
}

bool
version_history_parse (const char *text, size_t bytes, version_history_t *out)
{
  json_t *root = json_loadb (text, bytes, JSON_REJECT_DUPLICATES, NULL);
  bool valid = root && parse_history (root, out);

  json_decref (root);
  return valid;
}

static uint64_t
get_last_epoch (const version_history_t *history)
{
  return history->count > 0 ? history->tables[history->count - 1].epoch : 0;
}

bool
version_history_may_follow (const version_history_t *known,
                            const version_history_t *history,
                            uint64_t era)
{
  uint64_t before = MAX (get_last_epoch (known), history->era << ERA_SHIFT);
  uint64_t max = known->count > 0 ? before + VERSION_EPOCH_LEAP : FIRST_EPOCH_MAX;

  return history->era <= era && get_last_epoch (history) <= max;
}

static bool
tables_equal (const version_table_t *a, const version_table_t *b)
{
  if (a->epoch != b->epoch || a->count != b->count)
    return false;
  for (uint32_t i = 0; i < a->count; i++)
    if (a->shares[i].version != b->shares[i].version || a->shares[i].weight != b->shares[i].weight)
      return false;
  return true;
}

/* Return: the index of @table among the known ones, -1 when it is not known */
static int32_t
find_known (const version_shares_t *shares, const version_table_t *table)
{
  for (uint32_t i = 0; i < shares->history.count; i++)
    if (tables_equal (&shares->history.tables[i], table))
      return (int32_t)i;
  return -1;
}

/* Whether @history has the table that is in force, and not another one of its number */
static bool
has_same_table (const version_shares_t *shares, const version_history_t *history)
{
  const version_table_t *used = version_history_get (&shares->history, shares->history.in_force);
  const version_table_t *same = version_history_get (history, shares->history.in_force);

  return used && same && tables_equal (used, same);
}

/* A writer that is behind may state an earlier table as in force; what was in force stays so. */
void
version_shares_update (version_shares_t *shares, uint64_t now_us, const version_history_t *history)
{
  version_shares_t next = *shares;

  next.history = *history;
  if (shares->history.gap != history->gap || shares->history.era != history->era)
    next.gap_since_us = now_us;
  if (has_same_table (shares, history))
    next.history.in_force = MAX (history->in_force, shares->history.in_force);
  for (uint32_t i = 0; i < history->count; i++)
    {
      int32_t known = find_known (shares, &history->tables[i]);

      next.seen_us[i] = known >= 0 ? shares->seen_us[known] : now_us;
      next.in_force_us[i] = known >= 0 ? shares->in_force_us[known] : 0;
      if (next.in_force_us[i] == 0 && history->tables[i].epoch <= next.history.in_force)
        next.in_force_us[i] = now_us;
    }
  *shares = next;
}

/* Drops the tables that were replaced so long ago that no stream of theirs can be open. Other
 * gateways may have seen the replacement later, by no more than a table is announced. */
static bool
drop_old_tables (const version_shares_t *shares,
                 uint64_t now_us,
                 uint64_t lifetime_us,
                 version_history_t *history)
{
  uint64_t kept_us = lifetime_us + VERSION_SHARES_ANNOUNCED_US;
  uint32_t old = 0;

  while (old + 1 < history->count && history->tables[old].epoch < history->in_force &&
         shares->in_force_us[old + 1] != 0 && now_us >= shares->in_force_us[old + 1] + kept_us)
    old++;
  memmove (history->tables, history->tables + old,
           (history->count - old) * sizeof (version_table_t));
  history->count -= old;
  return old > 0;
}

static uint64_t
share_milli (const version_table_t *table, uint64_t version)
{
  uint64_t total = 0;
  uint64_t weight = 0;

  for (uint32_t i = 0; i < table->count; i++)
    {
      total += table->shares[i].weight;
      weight += table->shares[i].version == version ? table->shares[i].weight : 0;
    }
  return total > 0 ? weight * MILLI / total : 0;
}

static bool
share_differs (const version_table_t *a, const version_table_t *b, uint64_t version)
{
  uint64_t before_milli = share_milli (a, version);
  uint64_t after_milli = share_milli (b, version);
  uint64_t high_milli = MAX (before_milli, after_milli);
  uint64_t low_milli = MIN (before_milli, after_milli);

  return high_milli >= low_milli + VERSION_SHARES_CHANGE_MILLI ||
         high_milli * MILLI > low_milli * VERSION_SHARES_RATIO_MILLI;
}

static bool
is_worth_change (const version_table_t *present, const version_table_t *wanted)
{
  for (uint32_t i = 0; i < present->count; i++)
    if (share_differs (present, wanted, present->shares[i].version))
      return true;
  for (uint32_t i = 0; i < wanted->count; i++)
    if (share_differs (present, wanted, wanted->shares[i].version))
      return true;
  return false;
}

static void
append_table (version_history_t *history, const version_table_t *wanted)
{
  history->tables[history->count] = *wanted;
  history->tables[history->count].epoch =
      MAX (get_last_epoch (history) + 1, history->era << ERA_SHIFT);
  history->count++;
}

/* Without a table no stream has begun while several versions served, so the first one needs no
 * announcement. */
static bool
plan_first (const version_table_t *wanted, version_history_t *out)
{
  *out = (version_history_t){ .in_force = 1 };
  append_table (out, wanted);
  return true;
}

version_history_t
version_history_begin (const version_table_t *wanted, uint64_t era)
{
  version_history_t history = { .era = era, .gap = VERSION_GAP_ANNOUNCED };

  append_table (&history, wanted);
  history.in_force = history.tables[0].epoch;
  return history;
}

/* What the store may have forgotten is of no stream that can be open. */
static bool
close_gap (const version_shares_t *shares,
           uint64_t now_us,
           uint64_t lifetime_us,
           version_history_t *history)
{
  bool is_announced = history->gap == VERSION_GAP_ANNOUNCED;
  uint64_t open_us = (is_announced ? 0 : lifetime_us) + VERSION_SHARES_ANNOUNCED_US;

  if (history->gap == VERSION_GAP_NONE || now_us < shares->gap_since_us + open_us)
    return false;
  history->gap = is_announced ? VERSION_GAP_TABLES : VERSION_GAP_NONE;
  return true;
}

/* Puts the latest table in force that was announced for long enough. */
static bool
advance_in_force (const version_shares_t *shares, uint64_t now_us, version_history_t *history)
{
  uint64_t before = history->in_force;

  for (uint32_t i = 0; i < shares->history.count; i++)
    if (now_us >= shares->seen_us[i] + VERSION_SHARES_ANNOUNCED_US)
      history->in_force = MAX (history->in_force, shares->history.tables[i].epoch);
  return history->in_force > before;
}

static uint32_t
get_weight (const version_table_t *table, uint64_t version)
{
  for (uint32_t i = 0; i < table->count; i++)
    if (table->shares[i].version == version)
      return table->shares[i].weight;
  return 0;
}

static bool
has_gains (const version_table_t *before, const version_table_t *wanted)
{
  for (uint32_t i = 0; i < wanted->count; i++)
    if (wanted->shares[i].weight > get_weight (before, wanted->shares[i].version))
      return true;
  return false;
}

/* Whether the change that is wanted is to be announced now. */
static bool
is_change_due (version_shares_t *shares, uint64_t now_us, const version_table_t *wanted)
{
  uint32_t last = shares->history.count - 1;
  const version_table_t *present = &shares->history.tables[last];

  if (wanted->count == 0 || !is_worth_change (present, wanted))
    {
      shares->losses_since_us = 0;
      return false;
    }
  if (has_gains (present, wanted))
    return now_us >= shares->seen_us[last] + VERSION_SHARES_PACE_US;
  if (shares->losses_since_us == 0)
    shares->losses_since_us = now_us;
  return now_us >= shares->losses_since_us + VERSION_SHARES_LOSS_US;
}

static bool
has_served (const version_shares_t *shares, uint64_t version)
{
  for (uint32_t i = 0; i < shares->served_count; i++)
    if (shares->served[i] == version)
      return true;
  return false;
}

static void
note_served (version_shares_t *shares, const version_table_t *wanted)
{
  for (uint32_t i = 0; i < wanted->count; i++)
    if (!has_served (shares, wanted->shares[i].version) &&
        shares->served_count < VERSION_SERVED_MAX)
      shares->served[shares->served_count++] = wanted->shares[i].version;
}

/* No stream has begun by them. The last one keeps its place, and with that its number, where there
 * is room. */
static void
drop_announced (version_history_t *history)
{
  while (history->count == VERSION_TABLES_MAX &&
         history->tables[history->count - 1].epoch > history->in_force)
    history->count--;
}

/* Whether a version of the last table has lost its engines for long enough. */
static bool
is_version_gone (version_shares_t *shares, uint64_t now_us, const version_table_t *wanted)
{
  const version_table_t *last = &shares->history.tables[shares->history.count - 1];
  bool is_gone = false;

  for (uint32_t i = 0; i < last->count; i++)
    is_gone = is_gone || (get_weight (wanted, last->shares[i].version) == 0 &&
                          has_served (shares, last->shares[i].version));
  if (!is_gone || wanted->count == 0)
    shares->gone_since_us = 0;
  else if (shares->gone_since_us == 0)
    shares->gone_since_us = now_us;
  return shares->gone_since_us != 0 && now_us >= shares->gone_since_us + VERSION_SHARES_GONE_US;
}

bool
version_shares_plan (version_shares_t *shares,
                     uint64_t now_us,
                     const version_table_t *wanted,
                     uint64_t lifetime_us,
                     version_history_t *out)
{
  bool changes;

  note_served (shares, wanted);
  if (shares->history.count == 0)
    return wanted->count > 0 && plan_first (wanted, out);
  *out = shares->history;
  changes = drop_old_tables (shares, now_us, lifetime_us, out);
  changes = advance_in_force (shares, now_us, out) || changes;
  changes = close_gap (shares, now_us, lifetime_us, out) || changes;
  if (is_version_gone (shares, now_us, wanted))
    {
      drop_announced (out);
      if (out->count < VERSION_TABLES_MAX)
        append_table (out, wanted);
      return true;
    }
  if (!is_change_due (shares, now_us, wanted) || out->count == VERSION_TABLES_MAX)
    return changes;
  append_table (out, wanted);
  shares->losses_since_us = 0;
  return true;
}
