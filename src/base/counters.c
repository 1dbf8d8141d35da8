#include "base/counters.h"

#include "base/limits.h"

#include <stdbool.h>
#include <string.h>

#define OVERFLOW_NAME "medlarplank_counters_refused_total"
#define OVERFLOW_HELP "Counts that had no counter of their own as the process had too many."

/**
 * struct family - counters or gauges that share a base name and differ only by their labels
 * @base: name without labels
 * @help: unescaped text of the HELP line
 * @is_counter: exported as a counter, else as a gauge; follows from the suffix of @base
 */
typedef struct
{
  char *base;
  char *help;
  bool is_counter;
} family_t;

/** struct counter - one counter or gauge; @labels include the braces, or are "" */
struct counter
{
  const family_t *family;
  char *labels;
  uint64_t value;
};

/**
 * struct counter_registry - all counters and gauges of a process
 * @lock: protects the hash tables; the values are atomic
 * @by_name: sanitized name with labels -> counter_t
 * @families: base name -> family_t
 * @overflow: returned for new names once LIMIT_COUNTERS are registered
 */
struct counter_registry
{
  GMutex lock;
  GHashTable *by_name;
  GHashTable *families;
  counter_t *overflow;
};

static void
family_free (gpointer data)
{
  family_t *family = data;

  g_free (family->base);
  g_free (family->help);
  g_free (family);
}

static void
counter_free (gpointer data)
{
  counter_t *counter = data;

  g_free (counter->labels);
  g_free (counter);
}

static bool
is_name_byte (char c, bool first)
{
  return g_ascii_isalpha (c) || c == '_' || (!first && g_ascii_isdigit (c));
}

/* Converts any text to a Prometheus name: characters that are not allowed become '_'. */
static char *
sanitize_name (const char *text, size_t bytes)
{
  GString *name = g_string_sized_new (bytes + 1);

  if (bytes == 0 || g_ascii_isdigit (text[0]))
    g_string_append_c (name, '_');
  for (size_t i = 0; i < bytes; i++)
    g_string_append_c (name, is_name_byte (text[i], false) ? text[i] : '_');
  return g_string_free (name, FALSE);
}

/* Return: the end of the label name that begins at @at, or NULL if there is none */
static const char *
skip_label_name (const char *at)
{
  if (!is_name_byte (*at, true))
    return NULL;
  while (is_name_byte (*at, false))
    at++;
  return at;
}

/* Return: the end of the quoted label value that begins at @at, or NULL unless all its quotes,
 * backslashes and newlines are escaped */
static const char *
skip_label_value (const char *at)
{
  if (*at++ != '"')
    return NULL;
  while (*at != '"')
    {
      if (*at == '\\' && strchr ("\\\"n", at[1]) != NULL && at[1] != '\0')
        at++;
      else if (*at == '\\' || *at == '\n' || *at == '\0')
        return NULL;
      at++;
    }
  return at + 1;
}

/* Return: whether the whole of @text has the form {name="value",...} */
static bool
labels_are_valid (const char *text)
{
  const char *at = text;

  do
    {
      at = skip_label_name (at + 1);
      if (at == NULL || *at != '=')
        return false;
      at = skip_label_value (at + 1);
      if (at == NULL)
        return false;
    }
  while (*at == ',');
  return strcmp (at, "}") == 0;
}

static void
append_escaped (GString *out, const char *text, bool quotes)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '\n')
        g_string_append (out, "\\n");
      else if (*text == '\\' || (quotes && *text == '"'))
        g_string_append_printf (out, "\\%c", *text);
      else
        g_string_append_c (out, *text);
    }
}

static family_t *
get_family (counter_registry_t *registry, const char *base, const char *help)
{
  family_t *family = g_hash_table_lookup (registry->families, base);

  if (family != NULL)
    return family;
  family = g_new0 (family_t, 1);
  family->base = g_strdup (base);
  family->help = g_strdup (help != NULL ? help : "");
  family->is_counter = g_str_has_suffix (base, "_total") || g_str_has_suffix (base, "_bucket") ||
                       g_str_has_suffix (base, "_sum_us") || g_str_has_suffix (base, "_count");
  g_hash_table_insert (registry->families, family->base, family);
  return family;
}

static counter_t *
get_with_lock_held (counter_registry_t *registry,
                    const char *base,
                    const char *labels,
                    const char *help)
{
  char *name = g_strconcat (base, labels, NULL);
  counter_t *counter = g_hash_table_lookup (registry->by_name, name);

  if (counter == NULL && g_hash_table_size (registry->by_name) >= LIMIT_COUNTERS)
    counter = registry->overflow;
  if (counter != NULL)
    {
      g_free (name);
      return counter;
    }
  counter = g_new0 (counter_t, 1);
  counter->family = get_family (registry, base, help);
  counter->labels = g_strdup (labels);
  g_hash_table_insert (registry->by_name, name, counter);
  return counter;
}

static gint
compare_counters (gconstpointer a, gconstpointer b)
{
  const counter_t *left = *(const counter_t *const *)a;
  const counter_t *right = *(const counter_t *const *)b;
  int order = strcmp (left->family->base, right->family->base);

  return order != 0 ? order : strcmp (left->labels, right->labels);
}

static GPtrArray *
sorted_counters (counter_registry_t *registry)
{
  GPtrArray *counters = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer counter;

  g_hash_table_iter_init (&iter, registry->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &counter))
    g_ptr_array_add (counters, counter);
  g_ptr_array_sort (counters, compare_counters);
  return counters;
}

static void
write_family (const family_t *family, GString *out)
{
  g_string_append_printf (out, "# HELP %s ", family->base);
  append_escaped (out, family->help, false);
  g_string_append_printf (out, "\n# TYPE %s %s\n", family->base,
                          family->is_counter ? "counter" : "gauge");
}

counter_registry_t *
counter_registry_new (void)
{
  counter_registry_t *registry = g_new0 (counter_registry_t, 1);

  g_mutex_init (&registry->lock);
  registry->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, counter_free);
  registry->families = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, family_free);
  registry->overflow = get_with_lock_held (registry, OVERFLOW_NAME, "", OVERFLOW_HELP);
  return registry;
}

void
counter_registry_free (counter_registry_t *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_destroy (registry->by_name);
  g_hash_table_destroy (registry->families);
  g_mutex_clear (&registry->lock);
  g_free (registry);
}

counter_t *
counter_get (counter_registry_t *registry, const char *name, const char *help)
{
  const char *labels = strchr (name, '{');
  size_t base_bytes = strlen (name);
  char *base;
  counter_t *counter;

  if (labels != NULL && labels_are_valid (labels))
    base_bytes = (size_t)(labels - name);
  else
    labels = "";
  base = sanitize_name (name, base_bytes);

  g_mutex_lock (&registry->lock);
  counter = get_with_lock_held (registry, base, labels, help);
  g_mutex_unlock (&registry->lock);
  g_free (base);
  return counter;
}

counter_t *
counter_get_labelled (counter_registry_t *registry,
                      const char *base,
                      const char *label,
                      const char *value,
                      const char *help)
{
  char *label_name = sanitize_name (label, strlen (label));
  GString *name = g_string_new (base);
  counter_t *counter;

  g_string_append_printf (name, "{%s=\"", label_name);
  append_escaped (name, value, true);
  g_string_append (name, "\"}");
  counter = counter_get (registry, name->str, help);
  g_string_free (name, TRUE);
  g_free (label_name);
  return counter;
}

void
counter_add (counter_t *counter, uint64_t delta)
{
  __atomic_fetch_add (&counter->value, delta, __ATOMIC_RELAXED);
}

void
counter_set (counter_t *counter, uint64_t value)
{
  __atomic_store_n (&counter->value, value, __ATOMIC_RELAXED);
}

uint64_t
counter_value (const counter_t *counter)
{
  return __atomic_load_n (&counter->value, __ATOMIC_RELAXED);
}

void
counter_registry_write (counter_registry_t *registry, GString *out)
{
  const family_t *family = NULL;
  GPtrArray *counters;

  g_mutex_lock (&registry->lock);
  counters = sorted_counters (registry);
  g_mutex_unlock (&registry->lock);

  /* Counters are never removed from a registry, so they can be read without the lock. */
  for (guint i = 0; i < counters->len; i++)
    {
      const counter_t *counter = g_ptr_array_index (counters, i);
      if (counter->family != family)
        write_family (counter->family, out);
      family = counter->family;
      g_string_append_printf (out, "%s%s %" G_GUINT64_FORMAT "\n", family->base, counter->labels,
                              counter_value (counter));
    }
  g_ptr_array_free (counters, TRUE);
}
